import type { FeedProgress } from "@chutewick/data";
import type { ChainView } from "@chutewick/parts";
import type { LotRecord, LotView } from "../checker.js";
import type { ClientSight, StorageMachine } from "../machines.js";
import { StuckWatch } from "../stuck.js";
import { deafClient } from "./client-sight.js";
import type { Fleet } from "./fleet.js";
import { USUAL_ALLOWANCE } from "./options.js";

/** Share of lots that have ended which are looked up once more. */
const ENDED_SHARE = 0.02;
/** ms. Within which the whole service, and so each chain, must be back after the last fault. */
const BACK_WITHIN = 12_000;
/** The season over lots with a label of their own, as the campaign's configuration names it. */
const LABELLED_SEASON = "night";
/** Its allowance against that of the season over all queues. */
const LABELLED_ALLOWANCE = 0.5;

/** What waits in one queue, as its owner in the newest view counts it. */
interface QueueCount {
  readonly mark: number;
  readonly waiting: number;
  /** Of these, items of the labelled season. */
  readonly labelled: number;
}

/** A queue as a storage machine's status shows it. */
interface QueueStatus {
  readonly owner: boolean;
  readonly view: ChainView;
  readonly count?: { readonly waiting: number; readonly open: Record<string, number> };
}

/** Looks from outside at lots, at what waits, and at chains that do not go on, for the checker. */
export class Observer {
  readonly #fleet: Fleet;
  readonly #stuckWatch = new StuckWatch();
  /** Violations of a node's own invariant that were told, by its life. */
  readonly #toldBehind = new WeakMap<FeedProgress, number>();

  constructor(fleet: Fleet) {
    this.#fleet = fleet;
  }

  /** Looks once at everything. */
  look(): void {
    const { world, sight } = this.#fleet;
    const open = this.#lookUpLots();
    if (sight.healedAt > 0) this.#lookForStuckChains();
    if (open === 0 && sight.healedAt > 0) sight.serviceAt.finished ??= world.now;
    this.#lookForNodesBehindControl();
    this.countWaiting();
  }

  /** A node that hears control has each change within a bound; every node counts by itself where it has not. */
  #lookForNodesBehindControl(): void {
    const { accesses, storages, violations } = this.#fleet;
    for (const machine of [...accesses, ...storages]) {
      if (!machine.alive) continue;
      const { feedProgress } = machine.core.membership;
      if (feedProgress.violations === (this.#toldBehind.get(feedProgress) ?? 0)) continue;
      this.#toldBehind.set(feedProgress, feedProgress.violations);
      const facts = `${machine.name} heard control and stayed behind its feed`;
      violations.push({ rule: "behind-control", facts });
    }
  }

  /** Records what waits at the owners against what may wait. */
  countWaiting(): void {
    const { world, sight, options } = this.#fleet;
    let all = 0;
    let most = 0;
    let ofLabelled = 0;
    for (const { waiting, labelled } of this.#queueCounts().values()) {
      all += waiting;
      ofLabelled += labelled;
      most = Math.max(most, waiting);
    }
    const isLabelled = options.labelled === true;
    const allowance =
      (options.season ?? options.allowance ?? USUAL_ALLOWANCE) *
      (isLabelled ? 1 + LABELLED_ALLOWANCE : 1);
    if (isLabelled)
      sight.waiting.push({
        at: world.now,
        waiting: ofLabelled,
        allowance: options.season! * LABELLED_ALLOWANCE,
      });
    sight.waiting.push({
      at: world.now,
      waiting: options.season === undefined ? most : all,
      allowance,
    });
  }

  /** Looks each accepted lot up, and tells how many have not ended. */
  #lookUpLots(): number {
    const { world, sight } = this.#fleet;
    let open = 0;
    for (const record of sight.lots) {
      if (record.lot === undefined || record.acceptedAt === undefined) continue;
      /** One that has ended is looked at again now and then, and does not count as open for that. */
      const state = record.views.at(-1)?.state;
      const hasEnded = state === "done" || state === "cancelled";
      if (hasEnded && !world.chance.happens(ENDED_SHARE)) continue;
      if (!hasEnded) open += 1;
      this.#lookUp(record);
    }
    return open;
  }

  #lookUp(record: LotRecord): void {
    const { world, accesses } = this.#fleet;
    const access = world.chance.pick(accesses);
    const askedAt = world.now;
    const client: ClientSight = {
      ...deafClient,
      reply: (status, body) => {
        const view = viewOf(status, body);
        if (view !== undefined) record.views.push({ askedAt, at: world.now, ...view });
      },
    };
    access.exchange(client, (ticket) => access.core.lookUp(ticket, record.lot!, world.now));
  }

  #lookForStuckChains(): void {
    const { world, controls, storages, violations } = this.#fleet;
    const stuck = this.#stuckWatch.look(controls, storages, BACK_WITHIN, world.now);
    for (const { chain, why } of stuck)
      violations.push({ rule: "stuck", facts: `${chain} ${why}` });
  }

  /** By queue; of two that think they own a queue, the one in the newer view does. */
  #queueCounts(): Map<string, QueueCount> {
    const counts = new Map<string, QueueCount>();
    for (const storage of this.#fleet.storages) {
      if (!storage.alive || storage.frozen) continue;
      for (const [name, queue] of this.#queuesOf(storage)) {
        const { owner, count, view } = queue;
        if (!owner || count === undefined || view.mark <= (counts.get(name)?.mark ?? 0)) continue;
        counts.set(name, {
          mark: view.mark,
          waiting: count.waiting,
          labelled: count.open[LABELLED_SEASON] ?? 0,
        });
      }
    }
    return counts;
  }

  #queuesOf(storage: StorageMachine): [name: string, queue: QueueStatus][] {
    const { queues } = storage.core.status(this.#fleet.world.now);
    return Object.entries(queues as Record<string, QueueStatus>);
  }
}

/** What a look-up told of a lot, where it told anything. */
function viewOf(
  status: number,
  body: Record<string, unknown>,
): Pick<LotView, "state" | "items" | "missing"> | undefined {
  if (status === 404) return { state: "open", items: [], missing: true };
  if (status !== 200) return undefined;
  return { state: body["state"] as string, items: body["items"] as LotView["items"] };
}
