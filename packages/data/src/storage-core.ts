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
  type ChainHolding,
  type ChainResult,
  type ChainView,
  type ChainWrite,
  type DiskCondition,
  type QueueCommand,
  type QueueResult,
  type ShareClass,
  type ShareTelling,
  type Telling,
} from "@chutewick/parts";
import { keys, standingClasses, type QueueStanding } from "@chutewick/control";
import { ClaimHeartbeats } from "./claim-heartbeats.js";
import { Membership, type Standing } from "./membership.js";
import { governed, isGoverned, type GovernedCommand } from "./queue-governance.js";
import type { DataMessage, QueueOutcome } from "./queue-messages.js";
import { QueueRefusals } from "./queue-refusals.js";

/** A storage machine without I/O: queues, each one chain partition (docs/design.md §3). */
export type StorageOutput =
  | { readonly kind: "send"; readonly to: string; readonly message: DataMessage }
  | {
      readonly kind: "write";
      readonly chain: string;
      readonly ticket: number;
      readonly write: ChainWrite;
    }
  | { readonly kind: "note"; readonly text: string; readonly facts: Record<string, unknown> };

interface Waiting {
  readonly ticket: string;
  readonly to: string;
  readonly held: number;
  readonly command: QueueCommand;
}

/** A read of results that waits for one, or a draw that waits for a prompt. */
interface Held {
  readonly ticket: string;
  readonly to: string;
  readonly command: Extract<QueueCommand, { kind: "results" | "draw" }>;
  readonly since: number;
  readonly until: number;
}

interface Partition {
  readonly chain: Chain;
  readonly machine: QueueMachine;
  readonly heartbeats: ClaimHeartbeats;
  readonly refusals: QueueRefusals;
  ownedMark: number;
  lookedAt: number;
  limiting: boolean;
  /** Mark of the share being entered, and of that which is confirmed under this ownership. */
  enteredMark: number;
  shareMark: number;
  held: Held[];
  /** Since when the configuration has had no such passage, of those with items here. */
  readonly gone: Map<string, number>;
}

type QueueShareTelling = NonNullable<Telling["shares"]>[number];

/** Ticket under which an owner enters limits, before the mark of the share. */
const LIMIT_TICKET = "limit/";

/** Why an owner does not take what the configuration governs. */
const NO_LEASE = "the owner holds no lease";

/** The queues of one storage machine. */
export class StorageCore {
  readonly membership: Membership;
  #standing: Standing;
  #partitions = new Map<string, Partition>();
  #waiting = new Map<string, Waiting>();
  #ticketNumber = 0;
  #disk: DiskCondition = "writable";
  /** A planned stop is under way. */
  #isStopping = false;

  constructor(
    standing: Standing,
    seeds: readonly string[],
    holdings: ReadonlyMap<string, ChainHolding>,
    now: number,
    chosen: Policy = policy.usual,
  ) {
    this.#standing = standing;
    const self = this;
    function telling(): Telling {
      return self.#telling();
    }
    this.membership = new Membership(standing, seeds, now, telling, chosen);
    this.#now = now;
    for (const [queue, holding] of holdings) this.#open(queue, now, holding);
  }

  #now: number;

  #open(queue: string, now: number, holding?: ChainHolding): Partition {
    const machine = new QueueMachine();
    const chain = new Chain(
      queue,
      { identity: this.#standing.identity, address: this.#standing.address },
      machine,
      now,
      holding,
      this.membership.policy.copiesLeast,
    );
    const partition: Partition = {
      chain,
      machine,
      heartbeats: new ClaimHeartbeats(),
      refusals: new QueueRefusals(),
      ownedMark: 0,
      lookedAt: 0,
      limiting: false,
      enteredMark: 0,
      shareMark: 0,
      held: [],
      gone: new Map(),
    };
    this.#partitions.set(queue, partition);
    return partition;
  }

  #telling(): Telling {
    const copied: [string, number][] = [];
    const stuck: [string, number, string][] = [];
    for (const [queue, { chain }] of this.#partitions) {
      if (chain.copiedMark > 0) copied.push([queue, chain.copiedMark]);
      const held = chain.stuck(this.#now);
      if (held !== undefined) stuck.push([queue, chain.view!.mark, held.identity]);
    }
    const shares: QueueShareTelling[] = [];
    for (const partition of this.#partitions.values()) {
      const share = shareTelling(partition, this.#now);
      if (share !== undefined) shares.push(share);
    }
    return { copied, stuck, shares };
  }

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
        return [...this.#views(now), ...this.membership.tell(now)];
      }
      case "lease":
      case "controls":
        this.membership.receive(message, from, now);
        return [];
      case "fellow-ask":
      case "fellow-tell":
        return this.membership.peer(message, from, now);
      case "queue-inquiry":
        return this.#inquire(
          message.ticket,
          message.queue,
          message.command,
          from,
          now,
          message.hold ?? 0,
        );
      case "life": {
        const partition = this.#partitions.get(message.queue);
        for (const claim of message.items) partition?.heartbeats.heardItem(claim, now);
        for (const claim of message.tasks ?? []) partition?.heartbeats.heardTask(claim, now);
        return [];
      }
      default:
        return [];
    }
  }

  /** Views of queues come by the feed; each is adopted by its mark alone. */
  #views(now: number): StorageOutput[] {
    const outputs: StorageOutput[] = [];
    for (const [key, view] of this.membership.follower.under<ChainView>(keys.queue)) {
      const queue = key.slice(keys.queue.length);
      let partition = this.#partitions.get(queue);
      if (partition === undefined) {
        if (!concerns(view, this.#standing.identity)) continue;
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

  #inquire(
    ticket: string,
    queue: string,
    command: QueueCommand,
    from: string,
    now: number,
    hold: number,
  ): StorageOutput[] {
    const partition = this.#partitions.get(queue);
    if (partition === undefined)
      return [result(from, ticket, { kind: "elsewhere", reason: "this queue is not kept here" })];
    if (!this.#isWritable && !isRead(command))
      return [result(from, ticket, { kind: "elsewhere", reason: this.#unwritableReason })];
    const judged = this.#judge(partition, command, now);
    if (judged.kind === "refused")
      return [result(from, ticket, { kind: "elsewhere", reason: judged.reason })];
    const lost = [
      ...this.#limitsBefore(partition, command, now),
      ...(command.kind === "draw" ? this.#takeBack(partition, command, now) : []),
    ];
    if (
      hold > 0 &&
      (command.kind === "results" || command.kind === "draw") &&
      partition.chain.serves &&
      !this.#isReady(partition, command, now)
    ) {
      partition.held.push({ ticket, to: from, command, since: now, until: now + hold });
      return lost;
    }
    return [...lost, ...this.#enter(partition, ticket, from, judged.command, now)];
  }

  #judge(partition: Partition, command: QueueCommand, now: number): GovernedCommand {
    if (!isGoverned(command)) return { kind: "entered", command };
    if (!this.membership.holds(now)) return { kind: "refused", reason: NO_LEASE };
    const { chain, machine, refusals } = partition;
    const queue = {
      queue: chain.name,
      configuration: this.membership.configuration.value,
      hasShare: machine.share(chain.ledger) !== undefined,
      refusals,
    };
    return governed(command, queue, now);
  }

  /** A dispatcher that began anew at its address has lost what it had under way. */
  #takeBack(
    partition: Partition,
    { holder, by }: Extract<QueueCommand, { kind: "draw" }>,
    now: number,
  ): StorageOutput[] {
    const { chain, machine } = partition;
    if (!chain.serves || by === undefined) return [];
    const lost: { claim: Claim; ending: PassEnding }[] = [];
    for (const [key, held] of machine.passes.processing())
      if (held.holder === holder && held.by !== undefined && held.by !== by)
        lost.push(broken(key, held.go));
    if (lost.length === 0) return [];
    return this.#enterOwn(partition, "lost", { kind: "settle", endings: lost }, now);
  }

  #isReady({ chain, machine }: Partition, command: Held["command"], now: number): boolean {
    if (command.kind === "results") return machine.passes.isTold(chain.ledger, command);
    return machine.passes.ready(command.able, chain.time(now), 1) > 0;
  }

  /** What was held and can be told now, or waits no longer, is asked of the chain like any other: a stale owner tells nothing. */
  #tellHeld(partition: Partition, now: number): StorageOutput[] {
    if (partition.held.length === 0) return [];
    const outputs: StorageOutput[] = [];
    const { chain, machine } = partition;
    const all = partition.held;
    partition.held = [];
    let draws = 0;
    for (const { command } of all) if (command.kind === "draw") draws += 1;
    for (const held of all) {
      const { ticket, to, command, since } = held;
      if (chain.serves && now < held.until && !this.#isReady(partition, command, now)) {
        partition.held.push(held);
        continue;
      }
      if (command.kind !== "draw")
        outputs.push(...this.#enter(partition, ticket, to, command, now, now - since));
      else if (!this.membership.holds(now))
        outputs.push(result(to, ticket, { kind: "elsewhere", reason: NO_LEASE }));
      else {
        /** Each that waits gets its part, so that the work is spread. */
        const most = Math.min(
          command.most,
          Math.ceil(
            machine.passes.ready(command.able, chain.time(now), command.most * draws) / draws,
          ),
        );
        outputs.push(
          ...this.#enter(
            partition,
            ticket,
            to,
            { ...command, most: Math.max(1, most) },
            now,
            now - since,
          ),
        );
      }
      if (command.kind === "draw") draws -= 1;
    }
    return outputs;
  }

  #enter(
    partition: Partition,
    ticket: string,
    to: string,
    command: QueueCommand,
    now: number,
    held = 0,
  ): StorageOutput[] {
    this.#ticketNumber += 1;
    const own = String(this.#ticketNumber);
    this.#waiting.set(own, { ticket, to, held, command });
    return this.#perform(partition, partition.chain.inquire(own, command, now), now);
  }

  /** Enters a command of the owner itself, of whose result nobody is told. */
  #enterOwn(
    partition: Partition,
    ticket: string,
    command: QueueCommand,
    now: number,
  ): StorageOutput[] {
    return this.#perform(partition, partition.chain.inquire(ticket, command, now), now);
  }

  #perform(partition: Partition, commands: ChainCommand[], now: number): StorageOutput[] {
    const outputs: StorageOutput[] = [];
    for (const command of commands) {
      if (command.kind === "send" || command.kind === "write") outputs.push(command);
      else if (command.kind === "result")
        outputs.push(...this.#ended(partition, command.ticket, command.result, now));
    }
    return outputs;
  }

  #ended(partition: Partition, own: string, told: ChainResult, now: number): StorageOutput[] {
    if (own.startsWith(LIMIT_TICKET)) {
      const mark = Number(own.slice(LIMIT_TICKET.length));
      if (mark === partition.enteredMark) partition.limiting = false;
      if (told.kind === "confirmed") partition.shareMark = Math.max(partition.shareMark, mark);
      return [];
    }
    const waiting = this.#waiting.get(own);
    if (waiting === undefined) return [];
    this.#waiting.delete(own);
    if (told.kind === "elsewhere")
      return [
        result(waiting.to, waiting.ticket, {
          kind: "elsewhere",
          reason: "this machine is not the owner, or the queue has too few copies",
        }),
      ];
    if (told.kind === "unknown") return [result(waiting.to, waiting.ticket, { kind: "unknown" })];
    const value = this.#noted(partition, told.value as QueueResult, waiting.command, now);
    const outputs: StorageOutput[] = [
      result(waiting.to, waiting.ticket, { kind: "confirmed", value }, waiting.held),
    ];
    if (value.kind === "ENDED")
      for (const holder of value.holders)
        outputs.push({ kind: "send", to: holder, message: { kind: "lot-ended", lot: value.lot } });
    if (value.kind === "SETTLED" || value.kind === "ENDED" || value.kind === "HANDED")
      outputs.push(...this.#tellHeld(partition, now));
    return outputs;
  }

  /** What a result says of the queue's room and claims is noted; a refusal for want of room is told with a wait. */
  #noted(
    { refusals, heartbeats }: Partition,
    value: QueueResult,
    command: QueueCommand,
    now: number,
  ): QueueResult {
    switch (value.kind) {
      case "SETTLED":
        if (value.freed > 0) refusals.addFreed(value.freed, now);
        return value;
      case "NO_ROOM":
        if (command.kind === "hand-in") refusals.addLot(command.lot, now);
        return refusals.withWait(value, now);
      case "HANDED":
        refusals.forgetLot(value.lot);
        return value;
      case "DRAWN":
        /** A dispatcher can take up only what it was told of. */
        for (const task of value.tasks) heartbeats.toldTask(task, now);
        return value;
      case "FULL":
        refusals.addItems(value.items, value.season, now);
        return value;
      default:
        return value;
    }
  }

  written(queue: string, ticket: number, now: number): StorageOutput[] {
    this.#now = now;
    const partition = this.#partitions.get(queue);
    return partition === undefined
      ? []
      : this.#perform(partition, partition.chain.written(ticket, now), now);
  }

  beat(now: number): StorageOutput[] {
    this.#now = now;
    const outputs: StorageOutput[] = [];
    for (const partition of this.#partitions.values()) {
      outputs.push(...this.#perform(partition, partition.chain.beat(now), now));
      outputs.push(...this.#tellHeld(partition, now));
      if (partition.chain.serves) outputs.push(...this.#own(partition, now));
    }
    outputs.push(...this.membership.beat(now));
    return outputs;
  }

  /** The owner's watch: limits in force, claims without a sign of life, lots out of time (§3, §5). */
  #own(partition: Partition, now: number): StorageOutput[] {
    const { chain, machine } = partition;
    if (partition.ownedMark !== chain.view!.mark) {
      partition.ownedMark = chain.view!.mark;
      partition.limiting = false;
      partition.shareMark = 0;
      partition.heartbeats.clear();
    }
    if (now - partition.lookedAt < constants.planEvery) return [];
    partition.lookedAt = now;
    const outputs = this.#enterLimits(partition, now);
    outputs.push(...this.#takeBackOrphans(partition, now));
    outputs.push(...this.#dropGone(partition, now));
    if (machine.due(chain.ledger, chain.time(now)))
      outputs.push(...this.#enterOwn(partition, "expire", { kind: "expire" }, now));
    return outputs;
  }

  /** A new owner enters nothing new, but has what it holds confirmed once before it tells of it. */
  #enterLimits(partition: Partition, now: number): StorageOutput[] {
    const { chain, machine } = partition;
    const share = machine.share(chain.ledger);
    const entered = this.#newerStanding(partition);
    if (entered === undefined && (partition.limiting || partition.shareMark >= (share?.mark ?? 0)))
      return [];
    partition.limiting = true;
    const command: QueueCommand = {
      kind: "limit",
      limits: entered?.limits ?? share!.limits,
      share: entered?.target ?? share!.share,
      mark: entered?.shareMark ?? share!.mark,
      classes: entered === undefined ? classesOf(share) : sharesOf(entered),
    };
    partition.enteredMark = command.mark;
    return this.#enterOwn(partition, `${LIMIT_TICKET}${command.mark}`, command, now);
  }

  /** What the feed says of the queue, where its ledger has an older share. */
  #newerStanding({ chain, machine }: Partition): QueueStanding | undefined {
    const standing = this.membership.follower.read<QueueStanding>(keys.standing + chain.name);
    const shareMark = machine.share(chain.ledger)?.mark ?? 0;
    return standing !== undefined && standing.shareMark > shareMark ? standing : undefined;
  }

  /**
   * A change is told as confirmed once every lease holder has it (§7). So what a share governs is judged by the newest one that
   * this owner has taken from the feed, which therefore goes into the chain before it.
   */
  #limitsBefore(partition: Partition, command: QueueCommand, now: number): StorageOutput[] {
    const isDue =
      isGoverned(command) && partition.chain.serves && this.#newerStanding(partition) !== undefined;
    return isDue ? this.#enterLimits(partition, now) : [];
  }

  /** Claims without a sign of life go back to where they waited. */
  #takeBackOrphans(partition: Partition, now: number): StorageOutput[] {
    const { chain, machine, heartbeats } = partition;
    const orphans: Claim[] = [];
    const processing = machine.processing();
    for (const [key, go] of processing)
      if (!heartbeats.isAlive(key, go, now)) orphans.push(claimOf(key, go));
    const lost: { claim: Claim; ending: PassEnding }[] = [];
    const tasks = machine.passes.processing();
    for (const [key, { go }] of tasks)
      if (!heartbeats.isTaskAlive(key, go, chain, now)) lost.push(broken(key, go));
    heartbeats.forgetAllBut(processing, tasks);
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
      outputs.push(...this.#enterOwn(partition, "orphans", { kind: "reset", items: orphans }, now));
    if (lost.length > 0)
      outputs.push(...this.#enterOwn(partition, "lost", { kind: "settle", endings: lost }, now));
    return outputs;
  }

  /** Items of passages that the configuration no longer has end with them. */
  #dropGone(partition: Partition, now: number): StorageOutput[] {
    const { machine, gone } = partition;
    const outputs: StorageOutput[] = [];
    if (!this.membership.holds(now)) {
      gone.clear();
      return outputs;
    }
    const { passages } = this.membership.configuration.value;
    const missing = new Set<string>();
    for (const way of machine.passes.ways())
      if (!Object.hasOwn(passages ?? {}, way) || passages[way]!.kind !== "lot") missing.add(way);
    for (const way of [...gone.keys()]) if (!missing.has(way)) gone.delete(way);
    for (const way of missing) {
      const since = gone.get(way) ?? now;
      gone.set(way, since);
      if (now - since >= constants.passageGone)
        outputs.push(...this.#enterOwn(partition, "drop-way", { kind: "drop-way", way }, now));
    }
    return outputs;
  }

  /** A planned stop: control takes this machine out of the chains that keep two copies without it. */
  leave(now: number): StorageOutput[] {
    this.#isStopping = true;
    return this.membership.leave(now);
  }

  /**
   * The disk of this machine refuses writes, or takes them again. Meanwhile the machine leaves its chains as one that stops does, as long
   * as enough copies stay, takes nothing that must be written and goes on with reads (§3.4).
   */
  diskChanged(condition: DiskCondition, now: number): StorageOutput[] {
    this.#disk = condition;
    if (this.#isStopping) return [];
    return this.#isWritable ? this.membership.stay(now) : this.membership.leave(now);
  }

  get #isWritable(): boolean {
    return this.#disk === "writable";
  }

  get #unwritableReason(): string {
    return this.#disk === "stalled"
      ? "the disk of the owner does not answer"
      : "the disk of the owner takes no writes";
  }

  /** Queues that this machine still is a member of. */
  get held(): number {
    let count = 0;
    for (const { chain } of this.#partitions.values()) if (chain.position >= 0) count += 1;
    return count;
  }

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
      identity: this.#standing.identity,
      zone: this.#standing.zone,
      place: this.membership.follower.place,
      leaseLeft: Math.round(this.membership.leaseLeft(now)),
      disk: this.#disk,
      queues,
    };
  }
}

function broken(key: string, go: number): { claim: Claim; ending: PassEnding } {
  return {
    claim: claimOf(key, go),
    ending: { kind: "broken", text: "", events: 0, upTo: undefined },
  };
}

function sharesOf(standing: QueueStanding): ShareClass[] {
  const classes: ShareClass[] = [];
  for (const { season, select, runners, target } of standingClasses(standing))
    classes.push({ season, select, runners, share: target });
  return classes;
}

/** Whether a command changes no record, so that it needs no write anywhere. */
function isRead({ kind }: QueueCommand): boolean {
  return kind === "status" || kind === "count" || kind === "results" || kind === "read-item";
}

/** What an owner tells control of its share; undefined before the share is confirmed under this ownership. */
function shareTelling(
  { chain, machine, shareMark, refusals }: Partition,
  now: number,
): QueueShareTelling | undefined {
  const share = machine.share(chain.ledger);
  if (!chain.serves || share === undefined || shareMark !== share.mark) return undefined;
  const open = machine.open();
  const needs = new Map(open);
  refusals.addNeeds(needs, now);
  const classes: ShareTelling[] = [];
  let [allHeld, allNeed] = [0, 0];
  for (const { season, share: may } of classesOf(share)) {
    const held = Math.max(may, open.get(season) ?? 0);
    const need = needs.get(season) ?? 0;
    open.delete(season);
    classes.push([season, held, need]);
    allHeld += held;
    allNeed += need;
  }
  /** Lots of seasons that have no class any more. */
  for (const [season, held] of open) {
    classes.push([season, held, held]);
    allHeld += held;
  }
  return [chain.name, shareMark, allHeld, allNeed, classes];
}

function concerns(view: ChainView, identity: string): boolean {
  if (view.joiner?.identity === identity) return true;
  for (const member of view.members) if (member.identity === identity) return true;
  return false;
}

function result(to: string, ticket: string, told: QueueOutcome, held = 0): StorageOutput {
  return {
    kind: "send",
    to,
    message: { kind: "queue-result", ticket, outcome: told, ...(held > 0 ? { held } : {}) },
  };
}
