/** Lots of passages at an access node, without I/O (docs/design.md §13.7). */
import { constants, type QueueCommand, type QueueResult, type Tenancy } from "@chutewick/parts";
import { configuration } from "@chutewick/control";
import type { AccessOutput } from "./access-output.js";
import { NO_NEW_WORK } from "./admission.js";
import type { Choice } from "./choice.js";
import type { PassEvent } from "./dialect.js";
import { LotSearch, lotTold, type LotQuestion } from "./lot-search.js";
import type { Membership } from "./membership.js";
import type { LotCall, LotHandedIn, LotReading, LotTold } from "./pass.js";
import type { Found } from "./passage-index.js";
import { PassDraw, type ItemStartRefusal } from "./pass-draw.js";
import type { PendingCalls } from "./pending-calls.js";
import type { QueueOutcome } from "./queue-messages.js";
import type { RelayCore } from "./relay-core.js";

/** Hands lots in, reads their results and ends them; `dispatcher` runs their items. */
export class PassLots {
  readonly dispatcher: PassDraw;
  #membership: Membership;
  #pendingCalls: PendingCalls;
  #relay: RelayCore;
  #search: LotSearch;
  #isLeaving = false;
  #isRefusing = false;

  constructor(
    membership: Membership,
    choice: Choice,
    pendingCalls: PendingCalls,
    relay: RelayCore,
  ) {
    this.#membership = membership;
    this.#relay = relay;
    this.#pendingCalls = pendingCalls;
    this.#search = new LotSearch(membership, pendingCalls);
    this.dispatcher = new PassDraw(membership, choice, pendingCalls);
  }

  handIn(ticket: string, handedIn: LotHandedIn, now: number): AccessOutput[] {
    if (this.#isLeaving || !this.#membership.holds(now))
      return [lotTold(ticket, refusedForNow(NO_NEW_WORK))];
    const found = this.#relay.passages.find(handedIn.host, handedIn.path);
    if (found === undefined || found.passage.kind !== "lot")
      return [lotTold(ticket, { kind: "missing" })];
    const { passage } = found;
    const identity = this.#relay.tenants.identify(passage, handedIn.credential);
    if (identity === undefined) return [lotTold(ticket, { kind: "unauthorized" })];
    const queue = configuration.queueFor(
      this.#membership.configuration.value,
      passage,
      handedIn.entries[0]?.model,
    );
    const onResult = (outcome: QueueOutcome): AccessOutput[] => {
      const isTaken = outcome.kind === "confirmed" && outcome.value.kind === "HANDED";
      if (isTaken) this.#search.remember(handedIn.lot, queue);
      return [lotTold(ticket, handInTold(outcome))];
    };
    const command = handInCommand(found, handedIn, identity.tenancy?.tenant);
    const patience = constants.handInPatience;
    return this.#pendingCalls.ask({ queue, command, patience, onResult }, now);
  }

  read(ticket: string, call: LotCall, { from, hold }: LotReading, now: number): AccessOutput[] {
    const onFound = (value: QueueResult): AccessOutput[] | undefined => {
      if (value.kind !== "RESULTS") return undefined;
      const { total, results } = value;
      const next = from + results.length;
      return [lotTold(ticket, { kind: "results", total, results, next })];
    };
    const commandFor = (reader: LotReader): QueueCommand => ({ kind: "results", from, ...reader });
    return this.#ask({ ticket, call, commandFor, hold, onFound }, now);
  }

  item(ticket: string, call: LotCall, item: string, now: number): AccessOutput[] {
    const onFound = (value: QueueResult): AccessOutput[] | undefined =>
      value.kind === "BODY" ? [lotTold(ticket, { kind: "body", bytes: value.body })] : undefined;
    const commandFor = (reader: LotReader): QueueCommand => ({
      kind: "read-item",
      item,
      ...reader,
    });
    return this.#ask({ ticket, call, commandFor, hold: 0, onFound }, now);
  }

  end(ticket: string, call: LotCall, now: number): AccessOutput[] {
    const onFound = (value: QueueResult, later: number): AccessOutput[] | undefined =>
      value.kind === "ENDED"
        ? [lotTold(ticket, { kind: "ended" }), ...this.dispatcher.ended(call.lot, later)]
        : undefined;
    const commandFor = (reader: LotReader): QueueCommand => ({ kind: "end", ...reader });
    return this.#ask({ ticket, call, commandFor, hold: 0, onFound }, now);
  }

  /** A credential is needed as with requests; which lots it opens is said by their owner. */
  #ask({ ticket, call, commandFor, hold, onFound }: CallOnLot, now: number): AccessOutput[] {
    if (this.#isRefusing) return [lotTold(ticket, LATER)];
    const { lot, host, credential } = call;
    const { passages, tenants } = this.#relay;
    const identity = tenants.identifyReader(passages.hasKeylessLots(host), credential);
    if (identity === undefined)
      return [lotTold(ticket, this.#membership.holds(now) ? { kind: "unauthorized" } : LATER)];
    const { tenancy } = identity;
    const command = commandFor({ lot, ...(tenancy === undefined ? {} : { reader: tenancy }) });
    return this.#search.ask({ ticket, lot, command, hold, onFound }, now);
  }

  has(attempt: number): boolean {
    return this.dispatcher.has(attempt);
  }

  mayStart(attempt: number, now: number): ItemStartRefusal | undefined {
    return this.dispatcher.mayStart(attempt, now);
  }

  goEvent(attempt: number, event: PassEvent, now: number): AccessOutput[] {
    return this.dispatcher.goEvent(attempt, event, now);
  }

  /** An owner says that a lot is ended. */
  dropped(lot: string, now: number): AccessOutput[] {
    return this.dispatcher.ended(lot, now);
  }

  beat(now: number): AccessOutput[] {
    return this.dispatcher.beat(now);
  }

  /** A planned stop: no new work; what is under way goes on. */
  leave(): void {
    this.#isLeaving = true;
    this.dispatcher.leave();
  }

  /** Later in a planned stop: reads and ends are sent elsewhere too. */
  refuseNew(): void {
    this.#isRefusing = true;
  }
}

/** A lot that is asked for, and by whom. */
interface LotReader {
  readonly lot: string;
  readonly reader?: Tenancy;
}

/** A call on a lot, and what is asked of the lot's owner for it. */
interface CallOnLot extends Pick<LotQuestion, "ticket" | "hold" | "onFound"> {
  readonly call: LotCall;
  readonly commandFor: (reader: LotReader) => QueueCommand;
}

/** Another node can say it at once. */
const LATER: LotTold = { kind: "later", retryAfter: constants.retryAfter };

function handInCommand(
  { name, passage }: Found,
  { lot, host, entries }: LotHandedIn,
  tenant: string | undefined,
): QueueCommand {
  return {
    kind: "hand-in",
    lot,
    way: name,
    host,
    ...(tenant === undefined ? {} : { tenant }),
    entries,
    allowance: passage.waitingTokens,
    goesMost: passage.goesMost,
    keeps: constants.lotDeadline,
  };
}

/** What a caller is told by what the owner said of a lot that was handed in. */
function handInTold(outcome: QueueOutcome): LotTold {
  if (outcome.kind === "elsewhere") return refusedForNow(outcome.reason);
  if (outcome.kind === "unknown") return { kind: "later", retryAfter: constants.retryAfter };
  const { value } = outcome;
  if (value.kind === "HANDED") return { kind: "taken" };
  if (value.kind !== "NO_ROOM") return { kind: "later", retryAfter: constants.retryAfter };
  const { tokens, waiting, allowance, wait } = value;
  return {
    kind: "refused",
    room: true,
    retryAfter:
      wait === undefined ? constants.retryAfter : Math.max(constants.emptyPause, wait) / 1_000,
    reason: `a lot of ${tokens} tokens does not fit: ${waiting} of ${allowance} wait`,
  };
}

/** Nobody can take the lot now; that says nothing of its size. */
function refusedForNow(reason: string): LotTold {
  return { kind: "refused", room: false, retryAfter: constants.retryAfter, reason };
}
