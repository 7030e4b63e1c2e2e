/** The logic of a storage machine without I/O: a set of queues, each one partition with chain replication (docs/design.md §3). */
import {
  Chain,
  QueueMachine,
  claimOf,
  classesOf,
  constants,
  policy,
  type Claim,
  type PassEnding,
  type Policy,
  type ChainCommand,
  type PersistedChain,
  type ChainResult,
  type ChainView,
  type ChainWrite,
  type DiskCondition,
  type QueueCommand,
  type QueueResult,
  type ShareClass,
  type SeasonShareReport,
  type NodeReport,
} from "@chutewick/parts";
import { keys, quotaClasses, type QueueQuota } from "@chutewick/control";
import { ClaimHeartbeats } from "./claim-heartbeats.js";
import { Membership, type NodeIdentity } from "./membership.js";
import { applyConfiguration, requiresLease, type CheckedCommand } from "./queue-governance.js";
import type { DataMessage, QueueOutcome } from "./queue-messages.js";
import { QueueRefusals } from "./queue-refusals.js";

/** Output of the storage core, which its process carries out: a message, a disk write or a log line. */
export type StorageOutput =
  | { readonly kind: "send"; readonly to: string; readonly message: DataMessage }
  | {
      readonly kind: "write";
      readonly chain: string;
      readonly ticket: number;
      readonly write: ChainWrite;
    }
  | { readonly kind: "note"; readonly text: string; readonly facts: Record<string, unknown> };

/** A command that was submitted to its chain and has no result yet. */
interface PendingCommand {
  readonly ticket: string;
  readonly to: string;
  /** ms. How long the command was held before it was submitted. */
  readonly heldMs: number;
  readonly command: QueueCommand;
}

type DrawCommand = Extract<QueueCommand, { kind: "draw" }>;

/** A long poll: a read that waits for results, or a draw (dequeue) that waits for an item. */
interface HeldCommand {
  readonly ticket: string;
  readonly to: string;
  readonly command: Extract<QueueCommand, { kind: "results" | "draw" }>;
  readonly since: number;
  readonly until: number;
}

/** One queue of this machine with the state that only its owner keeps. */
interface Partition {
  readonly chain: Chain;
  readonly machine: QueueMachine;
  readonly heartbeats: ClaimHeartbeats;
  readonly refusals: QueueRefusals;
  /** Epoch of the view under which this machine became the owner. */
  ownedEpoch: number;
  lastCheckedAt: number;
  isEnteringLimits: boolean;
  /** Version of the share that was entered last. */
  enteredShareVersion: number;
  /** Version of the share that is committed under this ownership. */
  committedShareVersion: number;
  heldCommands: HeldCommand[];
  /** Passages with items here that the configuration lacks, with the time since when. */
  readonly missingSince: Map<string, number>;
}

type QueueShareReport = NonNullable<NodeReport["shares"]>[number];

/** Prefix of the ticket under which an owner enters limits; the version of the share follows. */
const LIMIT_TICKET_PREFIX = "limit/";

/** Result of a held draw for which no item arrived in time. */
const EMPTY_DRAW_OUTCOME: QueueOutcome = {
  kind: "confirmed",
  value: { kind: "DRAWN", tasks: [], more: "EMPTY", wait: undefined },
};

/** Reason for rejecting a command that requires a lease. */
const NO_LEASE_REASON = "the owner holds no lease";

/** The queues of one storage machine and its membership in the fleet. */
export class StorageCore {
  readonly membership: Membership;
  #node: NodeIdentity;
  #partitions = new Map<string, Partition>();
  #pendingCommands = new Map<string, PendingCommand>();
  #ticketNumber = 0;
  #disk: DiskCondition = "writable";
  #isStopping = false;

  constructor(
    node: NodeIdentity,
    seeds: readonly string[],
    persistedChains: ReadonlyMap<string, PersistedChain>,
    now: number,
    deploymentPolicy: Policy = policy.defaults,
  ) {
    this.#node = node;
    const self = this;
    function createReport(): NodeReport {
      return self.#createReport();
    }
    this.membership = new Membership(node, seeds, now, createReport, deploymentPolicy);
    this.#now = now;
    for (const [queue, persisted] of persistedChains) this.#open(queue, now, persisted);
  }

  #now: number;

  /** Starts to keep a queue, with what the disk holds of it. */
  #open(queue: string, now: number, persisted?: PersistedChain): Partition {
    const machine = new QueueMachine();
    const chain = new Chain(
      queue,
      { identity: this.#node.identity, address: this.#node.address },
      machine,
      now,
      persisted,
      this.membership.policy.copiesLeast,
    );
    const partition: Partition = {
      chain,
      machine,
      heartbeats: new ClaimHeartbeats(),
      refusals: new QueueRefusals(),
      ownedEpoch: 0,
      lastCheckedAt: 0,
      isEnteringLimits: false,
      enteredShareVersion: 0,
      committedShareVersion: 0,
      heldCommands: [],
      missingSince: new Map(),
    };
    this.#partitions.set(queue, partition);
    return partition;
  }

  /** The part of this machine's heartbeats that describes its queues. */
  #createReport(): NodeReport {
    const copied: [string, number][] = [];
    const stuck: [string, number, string][] = [];
    for (const [queue, { chain }] of this.#partitions) {
      if (chain.copiedMark > 0) copied.push([queue, chain.copiedMark]);
      const stuckMember = chain.slowReplica(this.#now);
      if (stuckMember !== undefined) stuck.push([queue, chain.view!.mark, stuckMember.identity]);
    }
    const shares: QueueShareReport[] = [];
    for (const partition of this.#partitions.values()) {
      const share = createShareReport(partition, this.#now);
      if (share !== undefined) shares.push(share);
    }
    return { copied, stuck, shares, assignsLots: true };
  }

  /** Handles a message from another process. */
  receive(message: DataMessage, from: string, now: number): StorageOutput[] {
    this.#now = now;
    switch (message.kind) {
      case "entries":
      case "taken":
      case "confirm":
      case "probe":
      case "probed":
      case "want":
      case "digest":
      case "digest-got": {
        const partition = this.#partitions.get(message.chain);
        return partition === undefined
          ? []
          : this.#perform(partition, partition.chain.receive(message, from, now), now);
      }
      case "feed":
      case "feed-digest": {
        if (!this.membership.receive(message, from, now)) return [];
        return [...this.#adoptViews(now), ...this.membership.sendHeartbeats(now)];
      }
      case "lease":
      case "controls":
        this.membership.receive(message, from, now);
        return [];
      case "fellow-ask":
      case "fellow-tell":
        return this.membership.receiveFromPeer(message, from, now);
      case "queue-inquiry":
        return this.#handleCommand(
          message.ticket,
          message.queue,
          message.command,
          from,
          now,
          message.hold ?? 0,
        );
      case "life": {
        const partition = this.#partitions.get(message.queue);
        for (const claim of message.items) partition?.heartbeats.recordItemHeartbeat(claim, now);
        for (const claim of message.tasks ?? [])
          partition?.heartbeats.recordTaskHeartbeat(claim, now);
        return [];
      }
      default:
        return [];
    }
  }

  /** Adopts the views of queues that the feed brought; a view is newer when its epoch is higher. */
  #adoptViews(now: number): StorageOutput[] {
    const outputs: StorageOutput[] = [];
    for (const [key, view] of this.membership.follower.under<ChainView>(keys.queue)) {
      const queue = key.slice(keys.queue.length);
      let partition = this.#partitions.get(queue);
      if (partition === undefined) {
        if (!includesMachine(view, this.#node.identity)) continue;
        partition = this.#open(queue, now);
      }
      if ((partition.chain.view?.mark ?? 0) < view.mark) {
        outputs.push({
          kind: "note",
          text: "queue view",
          facts: {
            queue,
            mark: view.mark,
            members: view.members.length,
            joiner: view.joiner?.identity,
          },
        });
        outputs.push(...this.#perform(partition, partition.chain.adopt(view, now), now));
      }
    }
    return outputs;
  }

  /** Executes a command of another machine, or holds it for at most `holdMs` until there is something to return. */
  #handleCommand(
    ticket: string,
    queue: string,
    command: QueueCommand,
    from: string,
    now: number,
    holdMs: number,
  ): StorageOutput[] {
    const partition = this.#partitions.get(queue);
    if (partition === undefined)
      return [result(from, ticket, { kind: "elsewhere", reason: "this queue is not kept here" })];
    if (!this.#isWritable && !isRead(command))
      return [result(from, ticket, { kind: "elsewhere", reason: this.#unwritableReason })];
    const checked = this.#checkCommand(partition, command, now);
    if (checked.kind === "refused")
      return [result(from, ticket, { kind: "elsewhere", reason: checked.reason })];
    const outputs = [
      ...this.#enterLimitsBefore(partition, command, now),
      ...(command.kind === "draw"
        ? this.#endClaimsOfEarlierIncarnation(partition, command, now)
        : []),
    ];
    if (
      holdMs > 0 &&
      (command.kind === "results" || command.kind === "draw") &&
      partition.chain.serves &&
      !this.#canAnswer(partition, command, now)
    ) {
      partition.heldCommands.push({ ticket, to: from, command, since: now, until: now + holdMs });
      return outputs;
    }
    return [...outputs, ...this.#submitCommand(partition, ticket, from, checked.command, now)];
  }

  /** Applies the configuration to a command, if it is of a kind that requires a lease. */
  #checkCommand(partition: Partition, command: QueueCommand, now: number): CheckedCommand {
    if (!requiresLease(command)) return { kind: "entered", command };
    if (!this.membership.holds(now)) return { kind: "refused", reason: NO_LEASE_REASON };
    const { chain, machine, refusals } = partition;
    const queue = {
      queue: chain.name,
      configuration: this.membership.configuration.value,
      hasShare: machine.share(chain.ledger) !== undefined,
      refusals,
    };
    return applyConfiguration(command, queue, now);
  }

  /** Ends the claims that a dispatcher held before it restarted at the same address: it has lost that work. */
  #endClaimsOfEarlierIncarnation(
    partition: Partition,
    { holder, by }: DrawCommand,
    now: number,
  ): StorageOutput[] {
    const { chain, machine } = partition;
    if (!chain.serves || by === undefined) return [];
    const lost: { claim: Claim; ending: PassEnding }[] = [];
    for (const [key, claimed] of machine.passQueue.processing())
      if (claimed.holder === holder && claimed.by !== undefined && claimed.by !== by)
        lost.push(brokenClaim(key, claimed.go));
    if (lost.length === 0) return [];
    return this.#submitOwnCommand(partition, "lost", { kind: "settle", endings: lost }, now);
  }

  /** Whether a held command has something to return. */
  #canAnswer({ chain, machine }: Partition, command: HeldCommand["command"], now: number): boolean {
    if (command.kind === "results") return machine.passQueue.canAnswerRead(chain.ledger, command);
    return machine.passQueue.countReady(command.able, chain.time(now), 1) > 0;
  }

  /**
   * Answers the held commands that have something to return or have timed out. They go through the chain like any other command, so that
   * a stale owner returns nothing.
   */
  #answerHeldCommands(partition: Partition, now: number): StorageOutput[] {
    if (partition.heldCommands.length === 0) return [];
    const outputs: StorageOutput[] = [];
    const heldCommands = partition.heldCommands;
    partition.heldCommands = [];
    let waitingDraws = 0;
    for (const { command } of heldCommands) if (command.kind === "draw") waitingDraws += 1;
    for (const held of heldCommands) {
      const hasNothing = partition.chain.serves && !this.#canAnswer(partition, held.command, now);
      if (hasNothing && now < held.until) {
        partition.heldCommands.push(held);
        continue;
      }
      const { ticket, to, command, since } = held;
      if (command.kind !== "draw")
        outputs.push(...this.#submitCommand(partition, ticket, to, command, now, now - since));
      // An empty draw commits to nothing, so it is answered without the other replicas (docs/design.md §13.7.3).
      else if (hasNothing) outputs.push(result(to, ticket, EMPTY_DRAW_OUTCOME, now - since));
      else
        outputs.push(...this.#answerHeldDraw(partition, { ...held, command }, waitingDraws, now));
      if (command.kind === "draw") waitingDraws -= 1;
    }
    return outputs;
  }

  /** Gives a held draw an equal part of the ready items, so that the work spreads over all draws that wait. */
  #answerHeldDraw(
    partition: Partition,
    { ticket, to, command, since }: HeldCommand & { readonly command: DrawCommand },
    waitingDraws: number,
    now: number,
  ): StorageOutput[] {
    if (!this.membership.holds(now))
      return [result(to, ticket, { kind: "elsewhere", reason: NO_LEASE_REASON })];
    const { chain, machine } = partition;
    const ready = machine.passQueue.countReady(
      command.able,
      chain.time(now),
      command.most * waitingDraws,
    );
    const maxItems = Math.max(1, Math.min(command.most, Math.ceil(ready / waitingDraws)));
    return this.#submitCommand(
      partition,
      ticket,
      to,
      { ...command, most: maxItems },
      now,
      now - since,
    );
  }

  /** Submits a command to the chain and remembers who waits for its result. */
  #submitCommand(
    partition: Partition,
    ticket: string,
    to: string,
    command: QueueCommand,
    now: number,
    heldMs = 0,
  ): StorageOutput[] {
    this.#ticketNumber += 1;
    const chainTicket = String(this.#ticketNumber);
    this.#pendingCommands.set(chainTicket, { ticket, to, heldMs, command });
    return this.#perform(partition, partition.chain.execute(chainTicket, command, now), now);
  }

  /** Submits a command of the owner itself, whose result is returned to nobody. */
  #submitOwnCommand(
    partition: Partition,
    ticket: string,
    command: QueueCommand,
    now: number,
  ): StorageOutput[] {
    return this.#perform(partition, partition.chain.execute(ticket, command, now), now);
  }

  /** Turns what a chain asks for into outputs of this core. */
  #perform(partition: Partition, commands: ChainCommand[], now: number): StorageOutput[] {
    const outputs: StorageOutput[] = [];
    for (const command of commands) {
      if (command.kind === "send" || command.kind === "write") outputs.push(command);
      else if (command.kind === "result")
        outputs.push(...this.#handleResult(partition, command.ticket, command.result, now));
    }
    return outputs;
  }

  /** Returns the result of a command from the chain to whoever waits for it. */
  #handleResult(
    partition: Partition,
    chainTicket: string,
    outcome: ChainResult,
    now: number,
  ): StorageOutput[] {
    if (chainTicket.startsWith(LIMIT_TICKET_PREFIX)) {
      const version = Number(chainTicket.slice(LIMIT_TICKET_PREFIX.length));
      if (version === partition.enteredShareVersion) partition.isEnteringLimits = false;
      if (outcome.kind === "confirmed")
        partition.committedShareVersion = Math.max(partition.committedShareVersion, version);
      return [];
    }
    const pending = this.#pendingCommands.get(chainTicket);
    if (pending === undefined) return [];
    this.#pendingCommands.delete(chainTicket);
    if (outcome.kind === "elsewhere")
      return [
        result(pending.to, pending.ticket, {
          kind: "elsewhere",
          reason: "this machine is not the owner, or the queue has too few copies",
        }),
      ];
    if (outcome.kind === "unknown")
      return [result(pending.to, pending.ticket, { kind: "unknown" })];
    const value = this.#recordResult(partition, outcome.value as QueueResult, pending.command, now);
    const outputs: StorageOutput[] = [
      result(pending.to, pending.ticket, { kind: "confirmed", value }, pending.heldMs),
    ];
    if (value.kind === "ENDED")
      for (const holder of value.holders)
        outputs.push({ kind: "send", to: holder, message: { kind: "lot-ended", lot: value.lot } });
    if (value.kind === "SETTLED" || value.kind === "ENDED" || value.kind === "HANDED")
      outputs.push(...this.#answerHeldCommands(partition, now));
    return outputs;
  }

  /** Records what a result says of the queue's free capacity and claims; a rejection for lack of capacity gets a wait time. */
  #recordResult(
    { refusals, heartbeats }: Partition,
    value: QueueResult,
    command: QueueCommand,
    now: number,
  ): QueueResult {
    switch (value.kind) {
      case "SETTLED":
        if (value.freed > 0) refusals.addFreedTokens(value.freed, now);
        return value;
      case "NO_ROOM":
        if (command.kind === "hand-in") refusals.addRefusedLot(command.lot, now);
        return refusals.withWait(value, now);
      case "HANDED":
        refusals.forgetLot(value.lot);
        return value;
      case "DRAWN":
        // A dispatcher can start an item only after it received the claim, so the claim timeout starts here.
        for (const task of value.tasks) heartbeats.recordTaskReported(task, now);
        return value;
      case "FULL":
        refusals.addRefusedItems(value.items, value.season, now);
        return value;
      default:
        return value;
    }
  }

  /** A disk write of a queue is durable. */
  written(queue: string, ticket: number, now: number): StorageOutput[] {
    this.#now = now;
    const partition = this.#partitions.get(queue);
    return partition === undefined
      ? []
      : this.#perform(partition, partition.chain.writeCompleted(ticket, now), now);
  }

  /** Periodic work: timeouts, held commands, the owner's checks and heartbeats. */
  tick(now: number): StorageOutput[] {
    this.#now = now;
    const outputs: StorageOutput[] = [];
    for (const partition of this.#partitions.values()) {
      outputs.push(...this.#perform(partition, partition.chain.tick(now), now));
      outputs.push(...this.#answerHeldCommands(partition, now));
      if (partition.chain.serves) outputs.push(...this.#runOwnerChecks(partition, now));
    }
    outputs.push(...this.membership.tick(now));
    return outputs;
  }

  /** Periodic checks of a queue's owner: current limits, claims without a heartbeat, removed passages and expired lots. */
  #runOwnerChecks(partition: Partition, now: number): StorageOutput[] {
    const { chain, machine } = partition;
    if (partition.ownedEpoch !== chain.view!.mark) {
      partition.ownedEpoch = chain.view!.mark;
      partition.isEnteringLimits = false;
      partition.committedShareVersion = 0;
      partition.heartbeats.clear();
    }
    if (now - partition.lastCheckedAt < constants.placementIntervalMs) return [];
    partition.lastCheckedAt = now;
    const outputs = this.#enterLimits(partition, now);
    outputs.push(...this.#revokeOrphanedClaims(partition, now));
    outputs.push(...this.#dropRemovedPassages(partition, now));
    if (machine.isExpiryDue(chain.ledger, chain.time(now)))
      outputs.push(...this.#submitOwnCommand(partition, "expire", { kind: "expire" }, now));
    return outputs;
  }

  /**
   * Enters the newest limits of the feed into the chain. A new owner without newer ones enters those that it holds once more, so that
   * they are committed under its ownership before it reports them.
   */
  #enterLimits(partition: Partition, now: number): StorageOutput[] {
    const { chain, machine } = partition;
    const share = machine.share(chain.ledger);
    const newerQuota = this.#newerQuota(partition);
    if (
      newerQuota === undefined &&
      (partition.isEnteringLimits || partition.committedShareVersion >= (share?.mark ?? 0))
    )
      return [];
    partition.isEnteringLimits = true;
    const command: QueueCommand = {
      kind: "limit",
      limits: newerQuota?.limits ?? share!.limits,
      share: newerQuota?.target ?? share!.share,
      mark: newerQuota?.shareMark ?? share!.mark,
      classes: newerQuota === undefined ? classesOf(share) : shareClassesOf(newerQuota),
    };
    partition.enteredShareVersion = command.mark;
    return this.#submitOwnCommand(partition, `${LIMIT_TICKET_PREFIX}${command.mark}`, command, now);
  }

  /** The quota that the feed has for the queue, if the share in the ledger is older. */
  #newerQuota({ chain, machine }: Partition): QueueQuota | undefined {
    const quota = this.membership.follower.read<QueueQuota>(keys.standing + chain.name);
    const ledgerVersion = machine.share(chain.ledger)?.mark ?? 0;
    return quota !== undefined && quota.shareMark > ledgerVersion ? quota : undefined;
  }

  /**
   * Enters newer limits of the feed before a command that they govern. A change of configuration is acknowledged once every lease holder
   * has received it, so the owner must apply the newest share that it knows (docs/design.md §7).
   */
  #enterLimitsBefore(partition: Partition, command: QueueCommand, now: number): StorageOutput[] {
    const isDue =
      requiresLease(command) && partition.chain.serves && this.#newerQuota(partition) !== undefined;
    return isDue ? this.#enterLimits(partition, now) : [];
  }

  /** Returns items whose claims have no recent heartbeat to the queue. */
  #revokeOrphanedClaims(partition: Partition, now: number): StorageOutput[] {
    const { chain, machine, heartbeats } = partition;
    const orphans: Claim[] = [];
    const processing = machine.processing();
    for (const [key, go] of processing)
      if (!heartbeats.isAlive(key, go, now)) orphans.push(claimOf(key, go));
    const lost: { claim: Claim; ending: PassEnding }[] = [];
    const tasks = machine.passQueue.processing();
    for (const [key, { go }] of tasks)
      if (!heartbeats.isTaskAlive(key, go, chain, now)) lost.push(brokenClaim(key, go));
    heartbeats.retainOnly(processing, tasks);
    const count = orphans.length + lost.length;
    if (count === 0) return [];
    const outputs: StorageOutput[] = [
      {
        kind: "note",
        text: "claims without a sign of life are taken back",
        facts: { queue: chain.name, count },
      },
    ];
    if (orphans.length > 0)
      outputs.push(
        ...this.#submitOwnCommand(partition, "orphans", { kind: "reset", items: orphans }, now),
      );
    if (lost.length > 0)
      outputs.push(
        ...this.#submitOwnCommand(partition, "lost", { kind: "settle", endings: lost }, now),
      );
    return outputs;
  }

  /** Drops the items of passages that have been missing from the configuration for long enough. */
  #dropRemovedPassages(partition: Partition, now: number): StorageOutput[] {
    const { machine, missingSince } = partition;
    const outputs: StorageOutput[] = [];
    if (!this.membership.holds(now)) {
      missingSince.clear();
      return outputs;
    }
    const { passages } = this.membership.configuration.value;
    const missing = new Set<string>();
    for (const way of machine.passQueue.activePassages())
      if (!Object.hasOwn(passages ?? {}, way) || passages[way]!.kind !== "lot") missing.add(way);
    for (const way of [...missingSince.keys()]) if (!missing.has(way)) missingSince.delete(way);
    for (const way of missing) {
      const since = missingSince.get(way) ?? now;
      missingSince.set(way, since);
      if (now - since >= constants.passageRemovalDelayMs)
        outputs.push(
          ...this.#submitOwnCommand(partition, "drop-way", { kind: "drop-way", way }, now),
        );
    }
    return outputs;
  }

  /** Begins a planned stop: control removes this machine from the chains that keep two copies without it. */
  leave(now: number): StorageOutput[] {
    this.#isStopping = true;
    return this.membership.leave(now);
  }

  /**
   * The disk of this machine rejects writes, or accepts them again. While it rejects them, the machine leaves its chains like one that
   * stops, as far as enough copies remain; it rejects commands that need a write and serves reads (docs/design.md §3.4).
   */
  diskChanged(condition: DiskCondition, now: number): StorageOutput[] {
    this.#disk = condition;
    if (this.#isStopping) return [];
    return this.#isWritable ? this.membership.cancelLeave(now) : this.membership.leave(now);
  }

  get #isWritable(): boolean {
    return this.#disk === "writable";
  }

  get #unwritableReason(): string {
    return this.#disk === "stalled"
      ? "the disk of the owner does not answer"
      : "the disk of the owner takes no writes";
  }

  /** Number of queues whose chain this machine is still a member of. */
  get memberQueueCount(): number {
    let count = 0;
    for (const { chain } of this.#partitions.values()) if (chain.position >= 0) count += 1;
    return count;
  }

  /** The state for the operator's status page. */
  status(now: number): Record<string, unknown> {
    const queues: Record<string, unknown> = {};
    for (const [queue, { chain, machine }] of this.#partitions) {
      const count = chain.serves
        ? machine.apply(chain.ledger, { kind: "count" }, chain.time(now))
        : undefined;
      queues[queue] = {
        view: chain.view,
        place: chain.place,
        confirmed: chain.confirmed,
        owner: chain.serves,
        count,
      };
    }
    return {
      identity: this.#node.identity,
      zone: this.#node.zone,
      place: this.membership.follower.place,
      leaseLeft: Math.round(this.membership.remainingLeaseMs(now)),
      disk: this.#disk,
      queues,
    };
  }
}

/** The claim of an item whose dispatcher is lost, with an ending that counts as a broken attempt. */
function brokenClaim(key: string, go: number): { claim: Claim; ending: PassEnding } {
  return {
    claim: claimOf(key, go),
    ending: { kind: "broken", text: "", events: 0, upTo: undefined },
  };
}

/** The share of each class of a quota. */
function shareClassesOf(quota: QueueQuota): ShareClass[] {
  const classes: ShareClass[] = [];
  for (const { season, select, runners, target } of quotaClasses(quota))
    classes.push({ season, select, runners, share: target });
  return classes;
}

/** Whether a command changes no record, so that it needs no write anywhere. */
function isRead({ kind }: QueueCommand): boolean {
  return kind === "status" || kind === "count" || kind === "results" || kind === "read-item";
}

/** An owner's report of its share to control; undefined until the share is committed under this ownership. */
function createShareReport(
  { chain, machine, committedShareVersion, refusals }: Partition,
  now: number,
): QueueShareReport | undefined {
  const share = machine.share(chain.ledger);
  if (!chain.serves || share === undefined || committedShareVersion !== share.mark)
    return undefined;
  const open = machine.openItemsBySeason();
  const demand = new Map(open);
  refusals.addDemand(demand, now);
  const classes: SeasonShareReport[] = [];
  let [totalHeld, totalDemand] = [0, 0];
  for (const { season, share: seasonShare } of classesOf(share)) {
    const held = Math.max(seasonShare, open.get(season) ?? 0);
    const seasonDemand = demand.get(season) ?? 0;
    open.delete(season);
    classes.push([season, held, seasonDemand]);
    totalHeld += held;
    totalDemand += seasonDemand;
  }
  // Open lots of seasons that have no class any more.
  for (const [season, held] of open) {
    classes.push([season, held, held]);
    totalHeld += held;
  }
  return [chain.name, committedShareVersion, totalHeld, totalDemand, classes];
}

/** Whether a machine is a member or the learner of a view. */
function includesMachine(view: ChainView, identity: string): boolean {
  if (view.joiner?.identity === identity) return true;
  for (const member of view.members) if (member.identity === identity) return true;
  return false;
}

/** A message with the outcome of a queue command. */
function result(to: string, ticket: string, outcome: QueueOutcome, heldMs = 0): StorageOutput {
  return {
    kind: "send",
    to,
    message: { kind: "queue-result", ticket, outcome, ...(heldMs > 0 ? { held: heldMs } : {}) },
  };
}
