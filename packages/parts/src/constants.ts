/** Constants of the system. Names carry the unit; a comment gives the reason where one is needed (docs/design.md §12). */
export const constants = {
  /** Interval of the tick that drives every core; fine enough that no timeout below is late by more than a tenth. */
  tickIntervalMs: 50,
  /** Tick interval of an access process while nothing with a deadline is in progress, because each tick of an idle process costs CPU time. */
  idleTickIntervalMs: 100,
  /** Interval of a node's heartbeats to each control machine; four can be lost before a lease expires. */
  heartbeatIntervalMs: 300,
  /** Above this fleet size the heartbeat interval grows in proportion to the number of nodes, up to the maximum: three per lease. */
  heartbeatFleetSize: 40,
  maxHeartbeatIntervalMs: 450,
  /**
   * Maximum relative drift between two monotonic clocks. The holder of a lease, a permit or a grant ends it earlier by this
   * fraction, so that it is over before the granter considers it over. Disciplined clocks drift by 0.0005.
   */
  maxClockDriftFraction: 0.01,
  /** Duration of a lease, counted by its holder from the moment of its request; below the 2 s that a change may take. */
  leaseDurationMs: 1_400,
  /** A node that lags behind the feed for this long gets no further lease, so that it does not delay changes (docs/design.md §7.3). */
  maxFeedLagForLeaseMs: 500,
  /** A node in contact with control receives each change within this time after control reported it: the shortest time in which a deployment may require a change to be in force. */
  maxFeedLagMs: 2_000,
  /** A node that receives nothing from a majority of control for this long considers the control group unreachable (docs/design.md §7.4). */
  quorumContactTimeoutMs: 1_000,
  /** Duration of a peer's promise to accept nothing from control, and thus of the permit that a majority of promises gives. */
  permitDurationMs: 1_000,
  /** An address without a session for this long no longer counts as part of the fleet. Together with the session timeout (2 s) this is shorter than the time in which a replacement machine must be up to date (docs/design.md §7.4). */
  fleetAddressRetentionMs: 2_500,
  /** How long control remembers an address that had a session, to send a node that starts there the state of the control group (docs/design.md §13.8.4). */
  silentNodeRetentionMs: 30_000,
  /** Interval at which a control machine sends the state of the control group to silent nodes; a node at such an address waits at most this long for it, beyond the session timeout. */
  silentNodeNoticeIntervalMs: 1_000,
  /** Silence after which a member's session ends; longer than a lease, so that a node whose session ended has already stopped serving. */
  sessionTimeoutMs: 2_000,
  /** Interval of heartbeats between control machines. */
  controlHeartbeatIntervalMs: 200,
  /** Longest interval at which control machines of a large fleet exchange its registry: four exchanges within the session timeout. */
  maxPeerRegistryIntervalMs: 500,
  /** Silence after which a control member is voted out; leaves 10 s of the 12 s recovery time for the other steps. */
  memberSilenceTimeoutMs: 1_500,
  /** Interval at which a member of the control group repeats to its head the feed index that its lease holders have reached, while it does not change. */
  coverageReportIntervalMs: 100,
  /** Pause between two ballots, multiplied by the rank of the proposer, so that ballots seldom collide. */
  ballotIntervalMs: 400,
  /** A chain resends entries that are not yet committed after this long without progress. */
  resendDelayMs: 250,
  /** A replica that delays its chain for this long is reported as slow and leaves the chain (docs/design.md §3). */
  slowReplicaTimeoutMs: 2_500,
  /** Interval at which the head of the control chain plans the placement of queues. */
  placementIntervalMs: 200,
  /** Limits on what a deployment may set: minimum times and resources, and the maximum number of simultaneous losses (docs/design.md §13.3). */
  minCancelMs: 1_000,
  minStopMs: 2_000,
  minMemoryMb: 96,
  minFileDescriptors: 256,
  maxMachineLosses: 3,
  /** Capacity of a pool's queue; the passages' own token limits are reached first. */
  poolQueueCapacityItems: 10_000_000,
  /** How many accepted operator orders are remembered by their idempotency keys regardless of age, and how many in total. */
  minRememberedOrders: 64,
  maxRememberedOrders: 1_024,
  /** How long an accepted order is remembered: callers retry for some seconds, whatever other orders arrive in between. */
  orderRetentionMs: 60_000,
  /** A machine acknowledges nothing unless a majority of control answered a heartbeat sent within this time; five heartbeat intervals. */
  controlContactTimeoutMs: 1_000,
  /** Retry-after time that a control machine without quorum contact returns to callers: another machine may answer at once. */
  noContactRetryAfterSeconds: 0.2,
  /** A request forwarded to the head is sent again after this long, where a duplicate does no harm. */
  forwardRetryIntervalMs: 500,
  /** Minimum number of durable copies of an entry before it is committed. */
  copiesLeast: 2,
  /** Number of copies to which a chain is repaired: any one machine may be lost together with its disk. */
  copiesWanted: 3,
  /** Records in one piece of a snapshot: below 1 MiB for usual items, so that ticks run between pieces. */
  snapshotPieceRecords: 400,
  /** Pieces in flight to a replica until it acknowledges one: some MiB, which any link between storage machines carries in one or two ticks. */
  maxSnapshotPiecesInFlight: 4,
  /** Pieces sent to one replica in each tick, so that a copy leaves link and disk capacity for live work (docs/design.md §1.4). */
  maxSnapshotPiecesPerTick: 4,
  /** After this many requests, at four a second, a learner that never came close to the tail throttles the chain to its own speed, so that its copy completes. */
  learnerRequestsBeforeThrottling: 8,
  /** Feed entries kept for nodes that follow; a node at an older index gets a snapshot instead. */
  feedRetentionEntries: 2_000,
  /** Entries in one message between chain members. */
  maxEntriesPerMessage: 200,
  /** Size at which a message with entries or snapshot records ends regardless of their number: a lot may have a megabyte, and four pieces a tick are 160 Mbit/s. */
  targetMessageBytes: 262_144,
  /** A grant of a dequeued prompt that has not begun by then is given back; keeps cancellation within 3 s. */
  grantDurationMs: 1_000,
  /** A prompt without a heartbeat for this long is returned to the queue: lots are due in 8 s; the paper uses 10 min. */
  orphanTimeoutMs: 4_000,
  /** Interval at which dispatchers forward heartbeats; four fit into the orphan timeout. */
  promptHeartbeatIntervalMs: 1_000,
  /** Attempts with a runner failure after which an item has failed; the paper uses 3 attempts. */
  maxFailedAttempts: 3,
  /** Pause of a dispatcher after an EMPTY reply; the paper uses 0.1 s. */
  emptyQueuePauseMs: 100,
  /** Pause of a dispatcher when no wait is known; a changed limit ends every pause. */
  maxDispatcherPauseMs: 2_000,
  /** Access nodes that draw from one queue, so that the loss of one stops nothing. */
  dispatchersPerQueue: 2,
  /** Prompts that one dispatcher has in progress for one queue. */
  maxPromptsPerDispatcher: 16,
  /** How long an access node waits for a queue's owner before it answers "unknown". */
  ownerTimeoutMs: 4_000,
  /** Delay after which an access node looks for an owner again when the request was certainly not accepted. */
  ownerRetryDelayMs: 150,
  /** Timeout for connecting to a runner: zones are 1 ms apart. */
  connectTimeoutMs: 500,
  /** A runner that sends nothing for this long after a complete request counts as failed. */
  runnerSilenceTimeoutMs: 30_000,
  /** The same for a lot's prompt: lots are due in about 8 s. */
  promptSilenceTimeoutMs: 10_000,
  /** Fraction of a runner's slots that lots may fill: live requests go first (docs/design.md §8.3). */
  lotSlotFraction: 0.75,
  /** Number of throttle levels. The level rises by one only after it held for the given time, so that it does not oscillate. */
  throttleLevels: 8,
  throttleHoldMs: 2_000,
  /** Fraction by which free capacity may fall short and still count as complete, because loads and lot counts are reported at different moments. */
  throttleSlackFraction: 0.1,
  /** A load report older than this counts as no free slots. */
  loadReportRetentionMs: 1_700,
  /** How long a live request rejected for lack of a slot, or a lot rejected for lack of capacity, is counted. */
  rejectionRetentionMs: 2_000,
  /** A runner not heard from for this long gets no work: less than the 2 s that may pass after a deregistration that nobody could forward (docs/design.md §7.5). */
  runnerLasts: 1_800,
  /** Interval at which runners are asked to announce themselves, and timeout after which they turn to another node. */
  announceIntervalMs: 500,
  announceTimeoutMs: 400,
  /** A process that got no tick for this long was suspended; messages that it reads in the period after that may be as old. */
  minSuspensionMs: 400,
  resumePeriodMs: 200,
  /** Retention of the record of a deregistration; the runner's next incarnation has a higher number. */
  deregistrationRetentionMs: 3_600_000,
  /** Default deadline of an accepted lot. */
  defaultLotDeadlineMs: 600_000,
  /** Added to the deadline of a lot: its acceptance may be acknowledged this much later than it was stamped (docs/design.md §5.5). */
  deadlineGraceMs: 5_000,
  /** How long results of a finished lot stay readable. */
  lotResultRetentionMs: 900_000,
  /** How much longer the existence of a lot is remembered, so that a late retry runs nothing again; 2 lots/s are 173 000 records of about 0.1 kB. */
  lotTombstoneRetentionMs: 86_400_000,
  /** How much longer the lot directory keeps an id than its queue needs it: covers a queue whose ledger clock stood still. */
  lotAssignmentMarginMs: 3_600_000,
  /** Records of the lot directory expire at multiples of this time, so that few passes remove them. */
  lotAssignmentStepMs: 600_000,
  /** Items of the largest lot; twenty is usual. */
  maxLotItems: 1_000,
  /** Windows of a recurring season that are checked for overlaps when it is entered, and that are listed in the reply. */
  maxCheckedWindows: 60,
  maxListedWindows: 3,
  /** Histogram bucket bounds: for durations, from a message within a zone to the longest timeout; for returned waits, up to the length of a season. */
  durationBucketsSeconds: [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30],
  waitBucketsSeconds: [0.5, 1, 2, 5, 10, 30, 60, 600, 3_600],
  /** Labels that one lot may carry itself. */
  maxLotLabels: 20,
  /** Largest body of a request. */
  maxBodyBytes: 1_048_576,
  /** A caller must have sent the headers, and the whole body, within these times. */
  headersTimeoutMs: 5_000,
  bodyTimeoutMs: 10_000,
  /** An operator's change that is not committed by then is answered with "unknown". */
  commitTimeoutMs: 6_000,
  /** Largest message between processes; a snapshot piece stays far below. */
  maxMessageBytes: 33_554_432,
  /** Unsent messages buffered per member; more are dropped, and the cores send them again. */
  maxWireBacklogBytes: 16_777_216,
  /** Shortest interval at which a process acknowledges what it received on a connection. */
  acknowledgementIntervalMs: 500,
  /** The same for acknowledgements that travel with messages in the other direction: while such messages flow, no packet is sent for the acknowledgement alone. */
  piggybackedAcknowledgementIntervalMs: 250,
  /**
   * A connection whose unacknowledged bytes make no progress for this long has stalled. Together with the interval of
   * acknowledgements this is the session timeout of 2 s, so that a network partition that ended a session leaves no connection
   * stalled; and it is longer than a process is usually suspended.
   */
  acknowledgementTimeoutMs: 1_500,
  /** After this many unanswered hello messages in a row, a process is considered to run a release that does not answer them. */
  maxUnansweredHellos: 3,
  /** Pause before a lost connection between processes is opened again. */
  reconnectDelayMs: 150,
  /** Format versions of the messages between processes and of the data folder. */
  wireFormatVersion: 1,
  diskFormatVersion: 1,
  /** Oldest versions that are still supported: a fleet may run two adjacent versions during a release (docs/design.md §10.6). */
  oldestWireFormatVersion: 1,
  oldestDiskFormatVersion: 1,
  /** Preallocation of a data folder's file beyond the used part, at least half of it at any time; a transaction needs far less. */
  diskPreallocationBytes: 8_388_608,
  /** A commit that takes this long counts as a stalled disk: seven times a slow commit of 150 ms, and below the 2 s of a change. */
  diskStallTimeoutMs: 1_000,
  /** Pause before a failed commit is retried: it doubles up to the maximum, and starts from the minimum once the disk has worked for the settling time. */
  minDiskRetryMs: 100,
  maxDiskRetryMs: 2_000,
  /** Failed attempts to read a database at a start, after which it is set aside: they last 3 s, and a disk that hangs for a moment loses nothing. */
  maxDatabaseReadAttempts: 6,
  diskSettlingMs: 5_000,
  /** A storage machine in a planned stop waits this long for its queues to move to other owners. */
  handOverTimeoutMs: 4_000,
  /** A planned stop finishes streams within this time. */
  drainTimeoutMs: 10_000,
  /** Runners tried for one live request before the caller is asked to retry later; a refusal costs 1 to 2 ms. */
  maxRunnersTried: 10,
  /** Runners tried in one live request although they look full: more would multiply a flood of requests beyond capacity. */
  maxFullRunnersTried: 2,
  /** Retry-after time when no exact wait is known. */
  retryAfter: 1,
  /** Results of a lot returned in one reply; callers are promised 1 MB at most, and JSON adds its punctuation. */
  maxResultsBytes: 900_000,
  /** Items dequeued from a pool's queue at once: one log entry for all of them, yet no dispatcher empties a queue that others could help with. */
  maxItemsPerDraw: 8,
  /** Usual time from the dequeue of an item to the delivery of its result: an item dequeued later than this before its deadline is late. */
  expectedRunMs: 1_500,
  /** Fraction of the retention time in which late items yield to others; after it they go first again, because an item that is given up has no value at all. */
  yieldFraction: 0.6,
  /** Delay of an item whose runs broke off twice in a row without an event; doubled with each further failure, up to the maximum. */
  firstItemRetryMs: 200,
  maxItemRetryMs: 2_000,
  /** Dispatchers of items forward heartbeats; a claim without one is revoked, so that one failed node does not delay lots that are due in 8 s. */
  itemHeartbeatIntervalMs: 500,
  itemOrphanTimeoutMs: 2_500,
  /** A claim that nobody started within the duration of its grant and the network delay is revoked. */
  claimStartTimeoutMs: 1_300,
  /** The owner holds a draw from an empty queue for this long (long polling): new items don't wait for a pause to end, and idle nodes send few requests. */
  drawHoldMs: 500,
  /** A passage missing from the configuration for this long is removed together with its items. */
  passageRemovalDelayMs: 2_000,
  /** Rank of lot items in a runner's own queue: live requests go first (docs/design.md §8.3). */
  itemRank: 9,
  /** How long a submission looks for its queue's owner: half the usual timeout of its callers, so that they can turn to another node. */
  submitTimeoutMs: 2_000,
  /** How much of that time the search for the queue of the lot may take. */
  assignTimeoutMs: 1_000,
  /** How long a permanently rejected submission is remembered: no message between processes is delayed longer. */
  rejectionMemoryMs: 60_000,
  /** Period over which the owner of a queue counts dequeued items to estimate the wait, and the number of rejected lots that it remembers. */
  drainRateWindowMs: 3_000,
  maxRememberedRejections: 5_000,
  /** How long a read of a lot looks for its owner, beyond the time it may be held; callers wait 1.5 s longer than they allow. */
  readTimeoutMs: 1_200,
  /** Lots whose queue an access node remembers, so that reads go to one owner. */
  maxRememberedLots: 20_000,
  /** Largest result of a fetch or of a one-shot request: it is returned complete or not at all. */
  maxResultBytes: 16_777_216,
  /** Largest body and largest head of a request on a passage, unless the deployment sets smaller ones. */
  maxPassBodyBytes: 16_777_216,
  maxPassHeaderBytes: 65_536,
  /** Callers may still be routed to a node for this long after it reported that it is not ready: two missed probes a second apart, and the network delay. */
  unreadyPropagationMs: 2_500,
  /** Fraction of a planned stop in which requests are still accepted; the rest is for their replies. */
  stopAcceptFraction: 0.35,
  /** Minimum time for which requests are rejected before the process closes: a late or lost probe sends callers here for another second. */
  minRefusalMs: 1_000,
  /** Time before the end of a planned stop at which the remaining requests get their final replies: a killed process answers nobody, and a busy one is late. */
  finalRepliesBeforeEndMs: 900,
  /** Time before the end of a planned stop at which the process closes whatever is open. */
  closeBeforeEndMs: 600,
  /** Final replies are passed to the network within this time. */
  replyFlushMs: 200,
  /** A control machine that stops waits this long for the orders that it accepted. */
  orderReplyTimeoutMs: 1_000,
  /** Time from the first byte of a request on a passage to the end of its headers, unless the deployment sets another. */
  passHeaderTimeoutMs: 10_000,
  /** Idle timeout of a caller's connection to a passage, unless the deployment sets another. */
  passIdleTimeoutMs: 14_000,
  /** A caller's connection is kept this much longer than announced: a request may be in flight when the time ends. */
  callerIdleMarginMs: 900,
  /** Largest request line, not counted with the headers. */
  maxRequestLineBytes: 8_192,
  /** Interval at which callers that are too slow are looked for. */
  slowCallerCheckIntervalMs: 250,
  /** Live requests in progress in one access node; callers beyond that are asked to retry later. */
  maxLiveRequests: 600,
  /** Subtracted from the time for which a runner keeps an idle connection, so that no connection is used while it is being closed (docs/design.md §13.6). */
  runnerIdleMarginMs: 150,
  /** Idle time of a connection whose runner announces none: it is reused within this time, and for repeatable requests within three times as long. */
  defaultIdleMs: 500,
  /** Time from the check of a request to its first byte, usually one turn of the event loop; a longer delay means that this process was suspended. */
  maxSendDelayMs: 100,
  /** Request ids that a connection to a runner remembers: a surplus reply refers to a request at most this many requests ago. */
  maxConnectionRequestIds: 32,
  /** A request past its deadline whose connection still reports nothing is aborted this much later. */
  overdueGraceMs: 400,
  /** A result that is not streamed is sent to the caller once it is complete, up to this size; a larger one as it arrives. */
  maxBufferedResultBytes: 65_536,
  /** Fraction of the latency target within which a request without a runner is rejected, so that its caller retries in time (docs/design.md §13.5). */
  runnerWaitFraction: 0.2,
  /** The same where a passage sets no target. */
  defaultRunnerWaitMs: 50,
  /** A request with less time left than this is not sent to a runner. */
  minUsefulTimeMs: 15,
  /** Attempts that were never sent, after which a request is rejected. */
  maxUnsentAttempts: 4,
  /** Time without a response to an attempt after which a repeatable request leaves a runner that responds to nothing at all. */
  rescueDelayMs: 400,
  /** The same for an item of a lot: its runner may be reading long prompts, and an aborted run is charged. */
  itemStallTimeoutMs: 2_000,
  /** Timeout for connecting for a passage: connecting takes a few ms within a region, and an unsent request can go elsewhere. */
  passConnectTimeoutMs: 200,
  /** Bytes that the bodies of live requests may take together for each megabyte of the process: a fifth. */
  bodyBytesPerMb: 200_000,
  /** Bytes that an incomplete event of a runner may take for each megabyte of the process, and all of them together: a 40th and a tenth. */
  eventBytesPerMb: 25_000,
  incompleteEventBytesPerMb: 100_000,
  /** Retry-after time of a caller rejected for lack of a slot, where the runner states none that is shorter. */
  slotRetryAfterSeconds: 0.15,
  /** The same while no runner is known, as just after a start: runners report about once a second. */
  noRunnerRetryAfterSeconds: 0.35,
  /** Interval at which runners, loads and nodes are read again for the choice of a runner; a tick takes 50 ms. */
  refreshIntervalMs: 25,
  /** Number of runners for which the interval between observations grows by its own length, and the longest interval: reports of other nodes are as old as that. */
  refreshIntervalRunners: 100,
  maxRefreshIntervalMs: 250,
  /** Multiple of a runner's slots up to which work may be sent to it: a runner queues a few requests beyond its slots. */
  maxSlotOvercommit: 1.5,
  /** Assumed reading speed of prompts. */
  promptTokensPerMs: 150,
  /** Assumed speed for the pairs of each token read with all those before it: it makes a prompt of 40 000 tokens take half a second. */
  promptTokenPairsPerMs: 5_400_000,
  /** A prompt of this size delays the streams beside it for longer than the reading of one of its chunks takes. */
  minLongPromptTokens: 3_000,
  /** Cost of sending a long prompt to a runner for short ones, where it would delay every stream; of the opposite case; and of an item. */
  longPromptElsewhereCostMs: 600,
  shortPromptElsewhereCostMs: 25,
  itemElsewhereCostMs: 10,
  /** Fraction of the slots up to which items are sent to a runner: live requests are admitted before them and displace them; less where short live requests run. */
  itemSlotFraction: 1,
  itemSlotFractionOnShortRunners: 0.8,
  /** Number of runners from which a pool is divided between long and short prompts, minimum fraction for long prompts, and fraction of the slots that short live requests fill. */
  minPoolToDivide: 4,
  minLongFraction: 0.45,
  shortPromptSlotFraction: 0.7,
  /** Number of runners that short live requests may lack, or have in surplus, before their number changes; and the minimum fraction for them. */
  maxShortRunnerDeficit: 0.4,
  maxShortRunnerSurplus: 1.8,
  minShortFraction: 0.25,
  /** Smoothing times of the load of short live requests, rising and falling, and of this node's long prompts; without long prompts for the last of these times the pool is not divided. */
  loadRiseMs: 1_000,
  loadFallMs: 4_000,
  longSmoothingMs: 5_000,
  longMemoryMs: 10_000,
  /** Time to the first output of a request apart from the reading of its prompt; what each request beside it adds; and the time for a whole round of slots that must first become free. */
  minFirstOutputMs: 20,
  concurrentRequestCostMs: 1,
  slotWaitMs: 400,
  /** The same for requests without token counts, as a multiple of their usual duration; and that duration before any was observed. */
  queuedRequestWeight: 6,
  initialDurationMs: 30,
  /** Fraction by which a cost is varied at random, so that nodes with the same observations don't all choose the same runner. */
  choiceJitterFraction: 0.1,
  /** Cost of a runner in another zone, and of one that is being avoided after a failure. */
  otherZoneCostMs: 3,
  avoidedRunnerCostMs: 2_000,
  /** Fraction of an item's slot that counts as occupied for live requests: items yield to them at the runner. */
  itemSlotWeight: 0.25,
  /** Fraction of its own live requests at a runner that a node assumes every other node to have there. */
  assumedPeerLoadFraction: 0.5,
  /** Weight of a new observation of a runner's speed. */
  speedSmoothingFactor: 0.1,
  /** How long, and for how many prompt prefixes, it is remembered which runner has read them. */
  prefixRetentionMs: 10_000,
  maxRememberedPrefixes: 4_000,
  /** A runner that has requests of this node and sends nothing for this long, apart from reading prompts, is skipped. */
  quietRunnerTimeoutMs: 250,
  /** The same for a runner of models: it may be reading a long prompt of another node, for half a second. */
  quietModelRunnerTimeoutMs: 700,
  /** A runner that refused a request, or that failed or was unreachable, is avoided for these times; twice as long with each failure in a row. */
  refusalBackoffMs: 40,
  failureBackoffMs: 150,
  maxRunnerBackoffMs: 1_500,
  /** Connections to one runner where its pool sets no limit, and the fraction of a limit that is used. */
  defaultRunnerConnections: 64,
  connectionLimitFraction: 0.9,
  /** Acts of one subject that are decided and not yet accepted by the platform; beyond that the oldest are given up. */
  maxOpenActs: 512,
  /** Ranges of numbers of completed acts of one subject; beyond that the gaps between the oldest are closed. */
  maxFinishedRanges: 512,
  /** Pause after a failed call to the platform: the minimum, the maximum after the first failure, and the maximum after many. */
  minDutyRetryMs: 50,
  maxFirstDutyRetryMs: 250,
  maxDutyRetryMs: 3_000,
  /** Pause after the platform reported a higher fence number: the local record may be outdated. */
  outdatedFencePauseMs: 1_000,
  /** Timeout of a call to the platform; doubled after each call without a reply, up to the maximum. */
  dutyCallTimeoutMs: 3_000,
  maxDutyCallTimeoutMs: 12_000,
  /** Calls of one subject whose replies a machine waits for at once; a connection is left for the other subjects. */
  maxDutyCallsInFlight: 3,
  /** After this many calls in a row without a reply, a machine leaves the platform to the other machines for this number of leases. */
  unansweredCallsBeforeYield: 2,
  yieldDurationLeases: 2,
  /** Delay between the machines that would take over an act. */
  takeoverStaggerMs: 250,
  /** Fraction of the platform's call rate that all control machines together use. */
  platformCallRateFraction: 0.5,
  /** Usage reports that one machine considers due at once; older ones are made only if they were decided. */
  maxDueUsageWindows: 120,
  /** Any machine may carry out a scaling order that nobody has carried out for this number of leases. */
  scalingTakeoverLeases: 2,
  /** Interval at which the desired number of runners is computed. */
  scalingPlanIntervalMs: 500,
  /** Factor on the usual retention for which a node cut off from control keeps a runner: partitions last some 5 s. */
  isolatedRunnerRetentionFactor: 6,
  /** A wall clock reported this long ago is ignored: five heartbeat intervals. */
  reportedClockRetentionMs: 3_000,
  /** A clock reported in a message that may have been in transit for longer is ignored: a window of usage is 5 s, and its error may be 0.05 s. */
  maxReportedClockDelayMs: 300,
  /** With fewer clocks, one that was stepped could be the median. */
  minAgreedClocks: 3,
  /** A restarted control machine claims no duty for this long: nodes send it their counts with their next heartbeats. */
  dutyStartDelayMs: 1_000,
  /** How long a process waits after its start for the minimum number of clocks before it uses fewer. */
  clockWaitMs: 3_000,
  /** How long the agreed offset remains valid without enough clocks: monotonic clocks drift by some 60 ms in it. */
  agreedOffsetValidityMs: 600_000,
  /** Largest backward correction for which agreed time stands still instead of going back; clocks are stepped by seconds. */
  maxAgreedTimeHoldMs: 5_000,
  /** Longest interval of reports of new usage counts; together with the tick before a report, counts are less than 0.5 s old. */
  usageReportIntervalMs: 350,
  /** Retention of the counts of a window at the node that counted them, for control machines that restart, and at control. */
  usageRetentionMs: 60_000,
  usageLedgerRetentionMs: 120_000,
  /** Counts in one message. */
  maxUsageCountsPerMessage: 2_000,
  /** Target utilization of the slots of a pool's runners; above it streams slow each other down. */
  targetSlotUtilization: 0.8,
  /** Factors by which live load exceeds its usual level in a burst, before ordered runners serve; and while it grows. */
  burstFactor: 1.7,
  growthFactor: 1.15,
  /** Smoothing times of live load, rising and falling, and of its usual level: lots arrive in batches that fill whatever is free. */
  liveLoadRiseMs: 1_000,
  liveLoadFallMs: 8_000,
  usualLoadSmoothingMs: 30_000,
  /** Slot utilization that, when it lasts for the given time, shows a backlog; and the factor by which the number of runners then grows. */
  saturationFraction: 0.95,
  saturationDelayMs: 3_000,
  saturationGrowthFactor: 1.25,
  /** A planner orders nothing before it has observed the fleet for this long: runners that it does not know yet would be stopped. */
  scalingStartDelayMs: 5_000,
  /** Fewer runners are ordered once fewer were enough for this time or this number of boot times, whichever is longer; then one at a time, at the given interval. */
  scaleDownDelayMs: 16_000,
  scaleDownDelayBoots: 4,
  scaleDownIntervalMs: 2_000,
  /** Fraction of the runners that must be lacking before more are ordered, and in surplus before one is stopped, so that the number does not oscillate around a threshold. */
  scaleUpHysteresisFraction: 0.04,
  scaleDownHysteresisFraction: 0.1,
  /** Fraction of the highest number of reporting access nodes below which the load is not known well enough to order fewer runners. */
  minReportingNodesFraction: 0.8,
  /** Fraction of a zone's runners; when more of them are lost, new ones are ordered in other zones. */
  lostZoneFraction: 0.25,
  /** Runners that don't serve within this time after their boot time count as lost. */
  bootGraceMs: 2_000,
} as const;
