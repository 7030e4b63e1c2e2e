import {
  Chain,
  QueueMachine,
  claimOf,
  classesOf,
  constants,
  policy,
  taskKey,
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
import { configuration, keys, standingClasses, type QueueStanding } from "@chutewick/control";
import { Membership, type Standing } from "./membership.js";
import type { DataMessage, QueueOutcome } from "./queue-messages.js";

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
  /** Last sign of life of each claim, known at the owner alone and begun anew by the next. */
  readonly life: Map<string, { go: number; at: number; taken?: boolean; place?: number }>;
  ownedMark: number;
  lookedAt: number;
  limiting: boolean;
  /** Mark of the share being entered, and of that which is confirmed under this ownership. */
  enteredMark: number;
  shareMark: number;
  /** Items lately refused for want of room. */
  refused: { at: number; count: number; season: string }[];
  held: Held[];
  /** Since when the configuration has had no such passage, of those with items here. */
  readonly gone: Map<string, number>;
  /** Tokens that left the queue lately. */
  freed: { at: number; tokens: number }[];
  /** When lots were refused first, of those that may come again. */
  readonly refusedAt: Map<string, number>;
}

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
      life: new Map(),
      ownedMark: 0,
      lookedAt: 0,
      limiting: false,
      enteredMark: 0,
      shareMark: 0,
      refused: [],
      held: [],
      gone: new Map(),
      freed: [],
      refusedAt: new Map(),
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
    const shares: [string, number, number, number, ShareTelling[]][] = [];
    for (const [queue, { chain, machine, shareMark, refused }] of this.#partitions) {
      const share = machine.share(chain.ledger);
      if (!chain.serves || share === undefined || shareMark !== share.mark) continue;
      const open = machine.open();
      const needs = new Map(open);
      for (const { at, count, season } of refused)
        if (this.#now - at <= constants.pressureLasts)
          needs.set(season, (needs.get(season) ?? 0) + count);
      const classes: ShareTelling[] = [];
      let [allHeld, allNeed] = [0, 0];
      for (const { season, share: may } of classesOf(share)) {
        const held = Math.max(may, open.get(season) ?? 0);
        open.delete(season);
        classes.push([season, held, needs.get(season) ?? 0]);
        allHeld += held;
        allNeed += needs.get(season) ?? 0;
      }
      /** Lots of seasons that have no class any more. */
      for (const [season, held] of open) {
        classes.push([season, held, held]);
        allHeld += held;
      }
      shares.push([queue, shareMark, allHeld, allNeed, classes]);
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
        for (const { lot, index, go } of message.items)
          partition?.life.set(`item/${lot}/${String(index).padStart(6, "0")}`, { go, at: now });
        for (const { lot, index, go } of message.tasks ?? [])
          partition?.life.set(taskKey(lot, index), { go, at: now, taken: true });
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
    let entered = command;
    /** What a configuration or a season governs needs a lease; records and cancels never wait for one (§7). */
    if (
      command.kind === "admit" ||
      command.kind === "pop" ||
      command.kind === "hand-in" ||
      command.kind === "draw"
    ) {
      if (!this.membership.holds(now))
        return [result(from, ticket, { kind: "elsewhere", reason: "the owner holds no lease" })];
      const { value } = this.membership.configuration;
      if (command.kind === "admit") {
        const plan = configuration.queues(value).find(isQueue, { queue });
        if (plan === undefined)
          return [
            result(from, ticket, {
              kind: "elsewhere",
              reason: "the configuration has no such queue",
            }),
          ];
        if (partition.machine.share(partition.chain.ledger) === undefined)
          return [
            result(from, ticket, {
              kind: "elsewhere",
              reason: "the queue has no share of waiting work yet",
            }),
          ];
        /** A lot brings labels of its own and of its way; those of model and adapter are the configuration's. */
        entered = {
          ...command,
          allowance: plan.waiting,
          labels: { ...command.labels, ...plan.labels },
        };
      }
      if (command.kind === "hand-in") {
        const passage = Object.hasOwn(value.passages, command.way)
          ? value.passages[command.way]
          : undefined;
        if (passage === undefined || passage.kind !== "lot")
          return [
            result(from, ticket, {
              kind: "elsewhere",
              reason: "the configuration has no such passage for lots",
            }),
          ];
        /** What the owner's configuration says binds, with an equal part of the allowance for each queue that lots of it may fall into. */
        const allowance =
          passage.waitingTokens === 0
            ? 0
            : Math.max(
                1,
                passage.waitingTokens / Math.max(1, configuration.queuesOf(value, passage).length),
              );
        const refusedAt = partition.refusedAt.get(command.lot);
        const late = refusedAt !== undefined && now - refusedAt > passage.aim;
        entered = {
          ...command,
          ...(late ? { late } : {}),
          allowance,
          goesMost: passage.goesMost,
          keeps: passage.keeps === undefined ? constants.lotDeadline : passage.keeps * 1_000,
          within: passage.within,
        };
      }
    }
    const lost = command.kind === "draw" ? this.#takeBack(partition, command, now) : [];
    if (
      hold > 0 &&
      (command.kind === "results" || command.kind === "draw") &&
      partition.chain.serves &&
      !this.#isReady(partition, command, now)
    ) {
      partition.held.push({ ticket, to: from, command, since: now, until: now + hold });
      return lost;
    }
    return [...lost, ...this.#enter(partition, ticket, from, entered, now)];
  }

  /** A dispatcher that began anew at its address has lost what it had under way. */
  #takeBack(
    { chain, machine }: Partition,
    { holder, by }: Extract<QueueCommand, { kind: "draw" }>,
    now: number,
  ): StorageOutput[] {
    if (!chain.serves || by === undefined) return [];
    const lost: { claim: Claim; ending: PassEnding }[] = [];
    for (const [key, held] of machine.passes.processing())
      if (held.holder === holder && held.by !== undefined && held.by !== by)
        lost.push(broken(key, held.go));
    if (lost.length === 0) return [];
    return this.#perform(
      this.#partitions.get(chain.name)!,
      chain.inquire("lost", { kind: "settle", endings: lost } satisfies QueueCommand, now),
      now,
    );
  }

  #isReady({ chain, machine }: Partition, command: Held["command"], now: number): boolean {
    if (command.kind === "results")
      return machine.passes.isTold(chain.ledger, command.lot, command.from);
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
        outputs.push(result(to, ticket, { kind: "elsewhere", reason: "the owner holds no lease" }));
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
    if (own === `limit/${partition.chain.name}`) {
      partition.limiting = false;
      if (told.kind === "confirmed")
        partition.shareMark = Math.max(partition.shareMark, partition.enteredMark);
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
    let value = told.value as QueueResult;
    if (value.kind === "SETTLED" && value.freed > 0)
      partition.freed.push({ at: now, tokens: value.freed });
    if (value.kind === "NO_ROOM") value = this.#refusal(partition, value, waiting.command, now);
    if (value.kind === "HANDED") partition.refusedAt.delete(value.lot);
    /** A dispatcher can take up only what it was told of. */
    if (value.kind === "DRAWN")
      for (const { lot, index, go } of value.tasks)
        partition.life.set(taskKey(lot, index), { go, at: now });
    if (value.kind === "FULL") {
      partition.refused = partition.refused.filter(isLate, {
        since: now - constants.pressureLasts,
      });
      partition.refused.push({ at: now, count: value.items, season: value.season });
    }
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

  /** With the wait until what is too much has left, at the pace at which it lately did. */
  #refusal(
    partition: Partition,
    value: Extract<QueueResult, { kind: "NO_ROOM" }>,
    command: QueueCommand,
    now: number,
  ): QueueResult {
    if (command.kind === "hand-in" && !partition.refusedAt.has(command.lot)) {
      partition.refusedAt.set(command.lot, now);
      if (partition.refusedAt.size > constants.refusedRemembered)
        for (const first of partition.refusedAt.keys()) {
          partition.refusedAt.delete(first);
          break;
        }
    }
    partition.freed = partition.freed.filter(isLate, { since: now - constants.drainCounted });
    let freed = 0;
    for (const { tokens } of partition.freed) freed += tokens;
    if (freed === 0 || value.tokens > value.allowance) return value;
    return {
      ...value,
      wait:
        (Math.max(0, value.waiting + value.tokens - value.allowance) / freed) *
        constants.drainCounted,
    };
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
    const { chain, machine, life } = partition;
    const outputs: StorageOutput[] = [];
    if (partition.ownedMark !== chain.view!.mark) {
      partition.ownedMark = chain.view!.mark;
      partition.limiting = false;
      partition.shareMark = 0;
      life.clear();
    }
    if (now - partition.lookedAt < constants.planEvery) return outputs;
    partition.lookedAt = now;
    const standing = this.membership.follower.read<QueueStanding>(keys.standing + chain.name);
    const share = machine.share(chain.ledger);
    /** A new owner enters nothing new, but has what it holds confirmed once before it tells of it. */
    if (
      !partition.limiting &&
      ((standing !== undefined && standing.shareMark > (share?.mark ?? 0)) ||
        partition.shareMark < (share?.mark ?? 0))
    ) {
      partition.limiting = true;
      const entered =
        standing !== undefined && standing.shareMark > (share?.mark ?? 0) ? standing : undefined;
      const command: QueueCommand = {
        kind: "limit",
        limits: entered?.limits ?? share!.limits,
        share: entered?.target ?? share!.share,
        mark: entered?.shareMark ?? share!.mark,
        classes: entered === undefined ? classesOf(share) : sharesOf(entered),
      };
      partition.enteredMark = command.mark;
      outputs.push(
        ...this.#perform(partition, chain.inquire(`limit/${chain.name}`, command, now), now),
      );
    }
    const orphans: Claim[] = [];
    const processing = machine.processing();
    for (const [key, go] of processing)
      if (!lives(life, key, go, now)) orphans.push(claimOf(key, go));
    const lost: { claim: Claim; ending: PassEnding }[] = [];
    const tasks = machine.passes.processing();
    for (const [key, { go }] of tasks)
      if (!livesTask(life, key, go, now, chain)) lost.push(broken(key, go));
    for (const key of life.keys()) if (!processing.has(key) && !tasks.has(key)) life.delete(key);
    if (orphans.length + lost.length > 0)
      outputs.push({
        kind: "note",
        text: "claims without a sign of life are taken back",
        facts: { queue: chain.name, count: orphans.length + lost.length },
      });
    if (orphans.length > 0)
      outputs.push(
        ...this.#perform(
          partition,
          chain.inquire("orphans", { kind: "reset", items: orphans } satisfies QueueCommand, now),
          now,
        ),
      );
    if (lost.length > 0)
      outputs.push(
        ...this.#perform(
          partition,
          chain.inquire("lost", { kind: "settle", endings: lost } satisfies QueueCommand, now),
          now,
        ),
      );
    outputs.push(...this.#dropGone(partition, now));
    if (machine.due(chain.ledger, chain.time(now)))
      outputs.push(
        ...this.#perform(
          partition,
          chain.inquire("expire", { kind: "expire" } satisfies QueueCommand, now),
          now,
        ),
      );
    return outputs;
  }

  /** Items of passages that the configuration no longer has end with them. */
  #dropGone(partition: Partition, now: number): StorageOutput[] {
    const { chain, machine, gone } = partition;
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
        outputs.push(
          ...this.#perform(
            partition,
            chain.inquire("drop-way", { kind: "drop-way", way } satisfies QueueCommand, now),
            now,
          ),
        );
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

/** Whether a claim showed a sign of life lately; one seen for the first time begins to count now. */
function lives(
  life: Map<string, { go: number; at: number }>,
  key: string,
  go: number,
  now: number,
): boolean {
  const sign = life.get(key);
  if (sign === undefined || sign.go !== go) {
    life.set(key, { go, at: now });
    return true;
  }
  return now - sign.at <= constants.orphanAfter;
}

/** The same for a prompt of a passage, whose dispatcher is to take it up at once. */
function livesTask(
  life: Partition["life"],
  key: string,
  go: number,
  now: number,
  { place, confirmed }: Chain,
): boolean {
  const sign = life.get(key);
  if (sign === undefined || sign.go !== go) {
    life.set(key, { go, at: now, place });
    return true;
  }
  /** What is not confirmed was not told yet. */
  if (sign.place !== undefined && confirmed < sign.place) life.set(key, { ...sign, at: now });
  return (
    now - sign.at <= (sign.taken === true ? constants.taskOrphanAfter : constants.claimTakenUp)
  );
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

function isQueue(this: { queue: string }, plan: { queue: string }): boolean {
  return plan.queue === this.queue;
}

function isLate(this: { since: number }, refusal: { at: number }): boolean {
  return refusal.at >= this.since;
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
