/** Every constant of the system with its unit and its reason (docs/design.md §12). */
export const constants = {
  /** ms. How often every core is given a beat; fine enough that no time-out below is late by a tenth. */
  beatEvery: 50,
  /** ms. The same in an access process while nothing with a deadline is under way in it, since each beat of an idle process costs. */
  idleBeatEvery: 100,
  /** ms. A member tells each control machine that it lives; four are lost before a lease runs out. */
  sessionEvery: 300,
  /** nodes; ms. In a fleet of more nodes heartbeats are sent more seldom, in proportion, up to the most: three within a lease. */
  sessionNodes: 40,
  sessionEveryMost: 450,
  /**
   * part. Two monotonic clocks run at most so much apart. Whoever holds a lease, a permit or a grant ends it sooner by this part
   * of it, so it is over before whoever gave it takes it as over. Clocks that are disciplined go 0.0005 apart.
   */
  clockRatesApart: 0.01,
  /** ms. A lease counted by its holder from the moment it asked; under the 2 s that a change may take. */
  leaseLasts: 1_400,
  /** ms. A node that stays behind the feed for this long gets no further lease, so it holds up no change (§7.3). */
  lagLasts: 500,
  /** ms. A node that hears control has each change within this after control told of it: the least time in which a deployment may ask for a change to be in force. */
  feedLagMost: 2_000,
  /** ms. Without a word from a majority of control for this long, a node counts the group as away (§7.4). */
  nearLasts: 1_000,
  /** ms. A peer's promise to take nothing from control, and so the permit that a majority of promises gives. */
  permitLasts: 1_000,
  /** ms. An address without a session for this long is no longer counted as part of the fleet: with the session itself (2 s) less than a machine has to come up to date in the place of a lost one (§7.4). */
  fleetForgets: 2_500,
  /** ms. How long control remembers an address that had a session, to tell a node that starts there where the group stands (§13.8.4). */
  silentNodeRemembered: 30_000,
  /** ms. A control machine tells silent nodes where the group stands; a node at such an address waits for that at most, beside its session's end. */
  callSilentEvery: 1_000,
  /** ms. Silence after which a member's session ends; longer than a lease, so a dead one has stopped. */
  sessionLasts: 2_000,
  /** ms. Control machines greet each other. */
  greetEvery: 200,
  /** ms. Control machines of a large fleet tell each other its registry this often at least: four within the time of a session. */
  peerRegistryEveryMost: 500,
  /** ms. Silence after which a control member is voted out; leaves 10 s of the 12 s for the rest. */
  memberSilence: 1_500,
  /** ms. A member of the control group repeats to its head how far its lease holders have come, where nothing is new. */
  coverageRepeatedEvery: 100,
  /** ms. Pause between two tries to agree, times the rank of the one that tries, so tries seldom collide. */
  agreeEvery: 400,
  /** ms. A chain with entries not yet confirmed sends them again after this long without progress. */
  resendAfter: 250,
  /** ms. A replica that holds up its chain for this long is reported as slow and leaves (§3). */
  slowAfter: 2_500,
  /** ms. Planning of queue placement by the head of the control chain. */
  planEvery: 200,
  /** ms, ms, megabytes, descriptors, machines. What a deployment must leave at least, and may ask for at most (§13.3). */
  cancelLeast: 1_000,
  stopLeast: 2_000,
  memoryLeast: 96,
  descriptorsLeast: 256,
  lossesMost: 3,
  /** items. A pool's queue takes what its passages' own bounds on tokens let through. */
  poolWaiting: 10_000_000,
  /** orders. The last ones taken are remembered by their idempotency keys, however old; and at most so many in all. */
  ordersKept: 64,
  ordersKeptMost: 1_024,
  /** ms. An order taken is remembered for so long: callers repeat a sending for some seconds, whatever other orders come between. */
  orderRemembered: 60_000,
  /** ms. A majority of control must have given back a heartbeat sent within this, or a machine acknowledges nothing; five heartbeats. */
  contactLasts: 1_000,
  /** s. What a caller hears from a control machine without contact: another machine may answer at once. */
  contactRetryAfter: 0.2,
  /** ms. A request passed on to the head is sent again after this, where twice is as good as once. */
  passAgainEvery: 500,
  /** copies. Nothing is confirmed on fewer synced copies (design rule). */
  copiesLeast: 2,
  /** copies. What a chain is mended to: any one machine may be lost with its disk. */
  copiesWanted: 3,
  /** records. Size of one piece of a snapshot: below 1 MiB for usual items, so beats pass in between. */
  snapshotPiece: 400,
  /** pieces. On their way to one that is copied to, until it says that it got one: some MiB, which any link of storage machines carries in a beat or two. */
  snapshotPiecesOut: 4,
  /** pieces. Sent to one that is copied to in each beat, so a copy leaves the link and the disk to live work (§1.4). */
  snapshotPiecesEachBeat: 4,
  /** asks. After so many, four a second, a joiner that never came near the tail holds the chain to its own pace, so that its copy ends. */
  joinerAsks: 8,
  /** entries. Feed entries kept for nodes that follow; older places get a snapshot instead. */
  feedKept: 2_000,
  /** entries. Most entries in one message between chain members. */
  entriesInMessage: 200,
  /** bytes. Entries and pieces of a snapshot end here as well, whatever their number: a lot may weigh a megabyte, and four pieces a beat are 160 Mbit/s. */
  messageWeight: 262_144,
  /** ms. A grant of a popped prompt not begun by then is given back; keeps cancel within 3 s. */
  grantLasts: 1_000,
  /** ms. A prompt without a sign of life is taken back. The source has 10 min; lots are due in 8 s. */
  orphanAfter: 4_000,
  /** ms. Dispatchers pass on signs of life; four fit into the orphan time-out. */
  lifeEvery: 1_000,
  /** gos. Real troubles of a runner after which an item has failed (the source's 3 attempts). */
  troublesMost: 3,
  /** ms. Pause of a dispatcher after EMPTY (the source's 0.1 s). */
  emptyPause: 100,
  /** ms. Pause of a dispatcher when no wait can be told; a changed limit ends every pause. */
  pauseMost: 2_000,
  /** dispatchers. Access nodes that draw from one queue, so the loss of one stops nothing. */
  dispatchersPerQueue: 2,
  /** requests. Prompts that one dispatcher has under way for one queue. */
  dispatchWidth: 16,
  /** ms. How long access waits for a queue's owner before it says "unknown". */
  ownerPatience: 4_000,
  /** ms. How long access looks for an owner again when it surely did not take the request. */
  ownerRetry: 150,
  /** ms. Connecting to a runner: zones are 1 ms apart. */
  connectPatience: 500,
  /** ms. A runner that says nothing for this long after a whole request counts as broken off. */
  runnerSilence: 30_000,
  /** ms. The same for a lot's prompt: lots are due in about 8 s. */
  promptSilence: 10_000,
  /** part. Of a runner's seats that lots may fill: live goes first (§8.3). */
  lotPart: 0.75,
  /** steps. Pace is cut into so many, and goes up one way only after it held for `paceHolds` ms, so it does not swing. */
  paceSteps: 8,
  paceHolds: 2_000,
  /** part. Room that is taken as whole, since loads and counts of lots are told at different moments. */
  paceSlack: 0.1,
  /** ms. A load older than this counts as none free. */
  loadLasts: 1_700,
  /** ms. How long a live request turned away for want of a seat, or a lot for want of room, is counted. */
  pressureLasts: 2_000,
  /** ms. A runner not heard of for this long gets no work: under the 2 s that may pass after a deregistration nobody could pass on (§7.5). */
  runnerLasts: 1_800,
  /** ms. Runners are asked to announce this often, and to turn to another node when one has not answered within. */
  announceEvery: 500,
  announcePatience: 400,
  /** ms. A process that was not struck by a beat for this long has slept; what it reads in the time after may be as old. */
  sleptLeast: 400,
  wakingLasts: 200,
  /** ms. A record of a deregistration is kept this long; a runner's next life has a new incarnation. */
  deregistrationKept: 3_600_000,
  /** ms. Default time that an accepted lot has. */
  lotDeadline: 600_000,
  /** ms. Added to the time of a lot: an acceptance can be told this much later than it was stamped (§5.5). */
  deadlineGrace: 5_000,
  /** ms. Results of a finished lot stay readable this long. */
  lotKept: 900_000,
  /** ms. That a lot was there is known this much longer, so a late try runs nothing anew; 2 lots/s are 173 000 records of about 0.1 kB. */
  lotForgets: 86_400_000,
  /** items. Largest lot; twenty is usual. */
  lotItemsMost: 1_000,
  /** windows of a recurring season that are looked at for overlaps when it is entered, and that are told of. */
  windowsChecked: 60,
  windowsTold: 3,
  /** s. Bounds of histograms: from a message within a zone to the longest patience, and of waits told up to a season's. */
  timeBounds: [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30],
  waitBounds: [0.5, 1, 2, 5, 10, 30, 60, 600, 3_600],
  /** labels. That one lot brings of its own. */
  lotLabelsMost: 20,
  /** bytes. Largest body of a request. */
  bodyMost: 1_048_576,
  /** ms. A caller must have sent headers, and the whole body, within these. */
  headersPatience: 5_000,
  bodyPatience: 10_000,
  /** ms. An operator's change not confirmed by then is answered "unknown". */
  confirmPatience: 6_000,
  /** bytes. Largest message between processes; a snapshot piece stays far below. */
  messageMost: 33_554_432,
  /** bytes. Unsent messages kept per member; more are dropped and sent again by the cores. */
  wireBacklog: 16_777_216,
  /** ms. A process acknowledges what it received on a connection at most this often. */
  acknowledgeEvery: 500,
  /** ms. The same among the messages of the connection in the other direction: where these flow, no packet is sent for it alone. */
  crossAcknowledgeEvery: 250,
  /**
   * ms. A connection on which bytes wait for an acknowledgement and none tells of more for this long has stalled. With the time
   * between two it is the 2 s after which a session ends, so that a cut that ended a session leaves no connection stalled; and it
   * is longer than a process usually stands still.
   */
  acknowledgementPatience: 1_500,
  /** hellos. After so many in a row without an answer a process is taken for one of a release that gives none. */
  unansweredHellos: 3,
  /** ms. Pause before a lost connection between processes is made again. */
  reconnectAfter: 150,
  /** mark. Of the messages between processes and of the data folder. */
  wireMark: 1,
  diskMark: 1,
  /** marks. The oldest still understood: a fleet may run two adjacent ones during a release (§10.6). */
  wireMarkOldest: 1,
  diskMarkOldest: 1,
  /** bytes. A data folder's file is kept this much longer than what is used, half of it at least; a transaction takes far less. */
  diskAhead: 8_388_608,
  /** ms. A commit that takes this long is taken for a stalled disk: seven times a slow one of 150 ms, and under the 2 s of a change. */
  diskStallAfter: 1_000,
  /** ms. Pause before a failed commit is tried again: it doubles up to the most, and starts anew once the disk has worked for `diskSettles`. */
  diskRetryLeast: 100,
  diskRetryMost: 2_000,
  diskSettles: 5_000,
  /** ms. A storage machine that stops as planned waits this long for its queues to go on without it. */
  handOverPatience: 4_000,
  /** ms. A planned stop finishes streams within this bound. */
  drainPatience: 10_000,
  /** runners tried for one live request before it is told to try later; a refusal costs 1 to 2 ms. */
  runnersTried: 10,
  /** runners of those that look full, in one live request: more would multiply a flood past capacity. */
  fullTried: 2,
  /** s. What "try later" says when no exact wait is known. */
  retryAfter: 1,
  /** bytes. Results of a lot told at once; callers are promised 1 MB at most, and JSON adds its marks. */
  resultsMost: 900_000,
  /** prompts. Taken with one draw of a pool's queue: one entry for all, yet no dispatcher empties a queue that others could help with. */
  drawMost: 8,
  /** ms. Usual time from the draw of an item to the telling of its result: one drawn later than so long before it is due is late. */
  runUsual: 1_500,
  /** part. Of the time of keeping, in which late items let others pass; then they are first again, since nothing is worth less than given up. */
  yieldPart: 0.6,
  /** ms. Rest of an item whose runs broke twice on end without an event; doubled with each further one, up to the most. */
  restFirst: 200,
  restMost: 2_000,
  /** ms. Dispatchers of items pass on signs of life; a claim without one is taken back, so that lots due in 8 s are not late for one dead node. */
  taskLifeEvery: 500,
  taskOrphanAfter: 2_500,
  /** ms. A claim that nobody took up within its grant's time and the way to here is taken back. */
  claimTakenUp: 1_300,
  /** ms. A draw from an empty queue is held at the owner so long: nothing waits for a pause to end, and idle nodes ask seldom. */
  drawHold: 500,
  /** ms. A passage missing from the configuration for so long takes its items with it. */
  passageGone: 2_000,
  /** rank. Of items in a runner's own queue: live goes first (§8.3). */
  itemRank: 9,
  /** ms. How long a hand-in looks for its owner: half of what its callers usually wait, so that they can turn to another node. */
  handInPatience: 2_000,
  /** ms. That a hand-in was refused for good is known this long: no message between processes is held up longer. */
  turnedLasts: 60_000,
  /** ms. Over which the owner of a queue counts what leaves it, for the wait that it tells; lots refused that it remembers. */
  drainCounted: 3_000,
  refusedRemembered: 5_000,
  /** ms. How long a read of a lot looks for its owner, beyond the time it may be held; callers wait 1.5 s more than they allow. */
  readPatience: 1_200,
  /** lots. Whose queue an access node remembers, so that reads ask one owner. */
  lotsRemembered: 20_000,
  /** bytes. Largest result of a fetch or of a one-shot request: it is told whole or not at all. */
  resultMost: 16_777_216,
  /** bytes. Largest body and largest head of a request on a passage, where the deployment tells no smaller ones. */
  passBodyMost: 16_777_216,
  passHeadersMost: 65_536,
  /** ms. After the word that a node is not ready, callers may still be sent to it for so long: two missed looks a second apart, and their way. */
  unreadyLasts: 2_500,
  /** part of a planned stop in which requests are taken at most: the rest of it is for their answers. */
  stopTakesPart: 0.35,
  /** ms. Requests are refused for so long at least before the process closes: a look that was late, or lost, sends callers here a second longer. */
  refusesLeast: 1_000,
  /** ms. So long before the end of a planned stop the rest gets its last answers: a killed process answers nobody, and a busy one is late. */
  lastAnswersBefore: 900,
  /** ms. So long before the end of a planned stop the process closes whatever is open. */
  closeBefore: 600,
  /** ms. Last answers are handed to the network within this. */
  answersWrittenWithin: 200,
  /** ms. A control machine that ends waits so long for the orders that it has taken. */
  ordersAnsweredWithin: 1_000,
  /** ms. From the first byte of a request on a passage to the end of its headers, where the deployment tells no other. */
  passHeaderWait: 10_000,
  /** ms. A caller's connection to a passage may stay idle this long, where the deployment tells no other. */
  passIdle: 14_000,
  /** ms. A caller's connection is kept so much longer than it is told: a request may be on its way when the time ends. */
  idleMarginHere: 900,
  /** bytes. Largest request line beside the headers. */
  requestLineMost: 8_192,
  /** ms. How often callers that are too slow are looked for. */
  slowCheckEvery: 250,
  /** requests. Live requests under way in one access node; more are told to try later. */
  liveMost: 600,
  /** ms. Taken off the time that a runner may keep a connection idle, so that none is used while it is being closed (§13.6). */
  idleMargin: 150,
  /** ms. A kept connection whose runner tells no time: used again within this, and for what may be repeated within three times as long. */
  idleUntold: 500,
  /** ms. From the look at a work to its first byte: usually one turn of the event loop; longer, this process has stood still. */
  sendWithin: 100,
  /** ids of works that a connection to a runner remembers: an answer too many is as old as that at most. */
  idsOfConnection: 32,
  /** ms. A work past its end whose link still says nothing is broken off this much later. */
  overdueGrace: 400,
  /** bytes. A result that is no stream is told to the caller once whole, up to this size; a larger one as it comes. */
  wholeMost: 65_536,
  /** part of the aim within which a request without a runner is turned away, so that its caller comes back in time (§13.5). */
  waitPart: 0.2,
  /** ms. The same where a passage tells no aim. */
  waitUntold: 50,
  /** ms. Less than this left is not worth a runner's work. */
  worthLeast: 15,
  /** gos that never went out, after which a request is turned away. */
  unsentMost: 4,
  /** ms without a sign of a go, after which what may be repeated leaves a runner that gives none on anything. */
  rescueAfter: 400,
  /** ms. The same for an item of a lot: its runner may be reading long prompts, and a run that is broken off is paid for. */
  itemStalledAfter: 2_000,
  /** ms. Connecting for a passage: a few ms within a region; what was not sent can go elsewhere. */
  passPatience: 200,
  /** bytes for each Megabyte of a process that bodies of live requests may take together: a fifth. */
  bodiesPart: 200_000,
  /** s. What a caller turned away for want of a seat is told, where the runner tells nothing shorter. */
  seatAfter: 0.15,
  /** s. The same while no runner is known, as just after a start: runners report about once a second. */
  knownAfter: 0.35,
  /** ms. Runners, loads and nodes are read anew this often for the choice of a runner; a beat is 50. */
  lookEvery: 25,
  /** runners for which the pause between looks is as much longer again; and the longest, ms: what others tell is as old. */
  lookRunners: 100,
  lookMost: 250,
  /** seats, as a part of those of a runner, that work may be sent for: beyond its own it queues a few. */
  seatsMost: 1.5,
  /** tokens/ms. Prompts are read about so fast. */
  tokensRead: 150,
  /** pairs/ms. Of the tokens read with all those before them: what makes a prompt of 40 000 take half a second. */
  pairsRead: 5_400_000,
  /** tokens. A prompt of this size holds up the streams beside it for longer than a piece of it takes. */
  longLeast: 3_000,
  /** ms. What it costs to send a long prompt to a runner for short ones, where it would hold up every stream, the other way round, and an item. */
  longAway: 600,
  shortAway: 25,
  itemAway: 10,
  /** part of the seats up to which items go to a runner: live work is let in before them and puts them back; less where short live work goes. */
  itemPart: 1,
  itemPartShort: 0.8,
  /** runners of a pool from which it is divided, the part at least for long prompts, and the part of the seats that short live work fills. */
  divideLeast: 4,
  longPart: 0.45,
  shortFill: 0.7,
  /** runners that may be missing, or too many, for short live work before their number changes; and their part at least. */
  divideOver: 0.4,
  divideUnder: 1.8,
  shortPart: 0.25,
  /** ms. Smoothing of what short live work takes, up and down, and of this node's long prompts; without any for so long nothing is divided. */
  levelUp: 1_000,
  levelDown: 4_000,
  longSmooth: 5_000,
  longLasts: 10_000,
  /** ms. To the first sign of work beside the reading; what each work beside it adds; a whole round of seats that must first come free. */
  firstLeast: 20,
  besidePrice: 1,
  seatWait: 400,
  /** The same for work that tells no tokens, in times of its usual; and that usual before any was seen, ms. */
  queueWeight: 6,
  usualFirst: 30,
  /** part by which a price is varied by chance: spread against herds of nodes that see the same. */
  choiceJitter: 0.1,
  /** ms. What another zone costs, and a runner in trouble. */
  otherZone: 3,
  shyPrice: 2_000,
  /** part of an item's seat that live work counts as taken: items give way to it at the runner. */
  itemWeight: 0.25,
  /** part of its own live work at a runner that a node takes every other node to have there. */
  alikePart: 0.5,
  /** part of a new sight of a runner's speed that is believed. */
  learnPart: 0.1,
  /** ms. For how long, and of how many, it is remembered where shared parts were read. */
  partsKept: 10_000,
  partsMost: 4_000,
  /** ms. A runner with work of this node that gives no sign for this long, beside its reading, is passed by. */
  quietLeast: 250,
  /** ms. The same for a runner of models: it may be reading a long prompt of another node, for half a second. */
  quietReading: 700,
  /** ms. A runner that refused, or that broke or was not reached, is passed by; twice as long with each trouble in a row. */
  shyRefused: 40,
  shyBroken: 150,
  shyMost: 1_500,
  /** connections to one runner: where its pool tells no limit, and the part of the limit that is used. */
  connectionsUntold: 64,
  connectionsPart: 0.9,
  /** acts. Decided and not taken by the platform yet, of one subject; the oldest are given up beyond. */
  openActsMost: 512,
  /** ranges. Numbers of acts that are done, of one subject; gaps between the oldest are closed beyond. */
  finishedRangesMost: 512,
  /** ms. Pauses after a call to the platform that failed: at least, the first at most, and at most after many. */
  dutyPauseLeast: 50,
  dutyPauseFirst: 250,
  dutyPauseMost: 3_000,
  /** ms. The platform has seen a higher fence: the record may be behind. */
  dutyOutdatedPause: 1_000,
  /** ms. An answer of the platform is waited for; twice as long after each call without one. */
  dutyCallPatience: 3_000,
  dutyCallPatienceMost: 12_000,
  /** calls in a row without an answer, and leases. After so many a machine leaves the platform to the others for so long. */
  dutyTriesUntilYield: 2,
  dutyYieldLeases: 2,
  /** ms. Machines that would take an act over follow each other. */
  takeoverStagger: 250,
  /** part of the calls that the platform takes, for all control machines together. */
  dutyCallsPart: 0.5,
  /** windows. Reports of usage that one machine holds due at once; older ones are made only if they were decided. */
  usageWindowsMost: 120,
  /** leases. An order of scaling that nobody has made for so long is made by any machine. */
  scalingTakeoverLeases: 2,
  /** ms. The number of runners is worked out anew this often. */
  scalingPlanEvery: 500,
  /** times as long as usual that a runner is known by a node cut off from control: cuts last some 5 s. */
  aloneTimes: 6,
  /** ms. A wall clock told this much ago says nothing any more: five heartbeats. */
  toldClockLasts: 3_000,
  /** ms. A clock told in a message that may have been longer on its way is not read: a window of usage is 5 s and its error 0.05. */
  toldClockLateMost: 300,
  /** clocks. With fewer, one that was stepped could be the median. */
  clocksLeast: 3,
  /** ms. A control machine that comes back claims no duty for so long: nodes tell it their counts with their next heartbeats. */
  dutySettles: 1_000,
  /** ms. What a process waits after its start for so many clocks before it goes by fewer. */
  clocksAwaited: 3_000,
  /** ms. What was agreed stands so long without enough clocks: monotonic clocks go apart by some 60 ms in it. */
  agreedTimeStands: 600_000,
  /** ms. Agreed time waits rather than go back by so much; clocks are stepped by seconds. */
  agreedTimeWaits: 5_000,
  /** ms. Counts of usage are told this often at least while there are new ones; with the beat before it they are under 0.5 s old. */
  usageTellEvery: 350,
  /** ms. Counts of a window are kept so long at the node that counted, for control machines that restart, and at control. */
  usageKept: 60_000,
  usageLedgerKept: 120_000,
  /** counts. Told in one message. */
  usageCountsMost: 2_000,
  /** part of the seats of a pool's runners that its work is to take; above it streams slow each other down. */
  scalingFill: 0.8,
  /** times. Live work grows by so much over its usual in a burst, before runners ordered for it serve; and while it grows. */
  scalingBurst: 1.7,
  scalingGrowth: 1.15,
  /** ms. Smoothing of live work up and down, and of what is usual: lots come in heaps that fill whatever is free. */
  scalingLiveUp: 1_000,
  scalingLiveDown: 8_000,
  scalingUsual: 30_000,
  /** part of the seats, ms and times. Work that takes nearly all seats for so long waits for more: so many more runners are needed. */
  scalingFull: 0.95,
  scalingFullAfter: 3_000,
  scalingFullGrowth: 1.25,
  /** ms. Nothing is ordered before a planner has seen this much: runners that it has not heard of yet would be ended. */
  scalingSettles: 5_000,
  /** ms and boots. Fewer runners are ordered once fewer were enough for so long, then one at a time. */
  scalingLowerAfter: 16_000,
  scalingLowerBoots: 4,
  scalingLowerEvery: 2_000,
  /** part of the runners that must be missing before more are ordered, and too many before one is given up: no swing about a border. */
  scalingMissing: 0.04,
  scalingSpare: 0.1,
  /** part of the access nodes heard at most, below which work is not known well enough to order fewer. */
  scalingHeard: 0.8,
  /** part of a zone's runners; where more are lost, new ones are ordered in other zones. */
  scalingZoneLost: 0.25,
  /** ms. Runners that don't serve so long after their boot are taken for lost. */
  scalingBootLate: 2_000,
} as const;
