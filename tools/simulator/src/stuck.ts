import { holdersOf, type ChainView, type Member } from "@chutewick/parts";
import type { ControlMachine, StorageMachine } from "./machines.js";
import type { Machine } from "./world.js";

/** The chain of the control group, and the keys under which it keeps the queues' views. */
export const CONTROL_CHAIN = "control";
export const QUEUE_PREFIX = "queue/";

/** A chain that does not serve, and why: which view stands, and who in it waits for whom (docs/testing.md §3). */
export interface Stuck {
  readonly chain: string;
  readonly why: string;
}

interface Progress {
  readonly confirmed: number;
  readonly since: number;
}

/** Looks again and again at the chains of a fleet of which nothing is broken any more. */
export class StuckWatch {
  #progress = new Map<string, Progress>();
  #told = new Set<string>();

  /** Chains that have not served, or confirmed nothing of what was entered, for longer than the bound; each is told once. */
  look(
    controls: readonly ControlMachine[],
    storages: readonly StorageMachine[],
    bound: number,
    now: number,
  ): Stuck[] {
    const found: Stuck[] = [];
    const views = new Map<string, { view: ChainView; machines: readonly Machine[] }>();
    for (const { folder } of controls) newest(views, CONTROL_CHAIN, folder?.votes?.view, controls);
    for (const { folder } of controls)
      for (const [key, value] of folder?.holdings().get(CONTROL_CHAIN)?.records ?? [])
        if (key.startsWith(QUEUE_PREFIX))
          newest(views, key.slice(QUEUE_PREFIX.length), value as ChainView, storages);
    for (const [chain, { view, machines }] of views) {
      const sight =
        chain === CONTROL_CHAIN ? controlSight(controls) : queueSight(storages, chain, now);
      const since = this.#stuckSince(chain, sight, now);
      if (now - since <= bound || this.#told.has(chain)) continue;
      this.#told.add(chain);
      const why = `for ${Math.round(now - since)} ms: ${reason(chain, view, machines)}; ${sight.facts}`;
      found.push({ chain, why });
    }
    return found;
  }

  /** ms. Since when a chain does not go on; now where it does. */
  #stuckSince(chain: string, { serves, confirmed, place }: Sight, now: number): number {
    const held = this.#progress.get(chain);
    const goesOn = serves && (confirmed >= place || confirmed !== held?.confirmed);
    if (held !== undefined && !goesOn) return held.since;
    this.#progress.set(chain, { confirmed, since: now });
    this.#told.delete(chain);
    return now;
  }
}

function newest(
  views: Map<string, { view: ChainView; machines: readonly Machine[] }>,
  chain: string,
  view: ChainView | undefined,
  machines: readonly Machine[],
): void {
  if (view !== undefined && view.mark > (views.get(chain)?.view.mark ?? 0))
    views.set(chain, { view, machines });
}

interface Sight {
  readonly serves: boolean;
  readonly place: number;
  readonly confirmed: number;
  readonly facts: string;
}

function controlSight(controls: readonly ControlMachine[]): Sight {
  for (const machine of controls) {
    if (
      !machine.alive ||
      machine.frozen ||
      !machine.core.isHead ||
      machine.core.view!.members.length < 2
    )
      continue;
    const place = machine.folder!.holdings().get(CONTROL_CHAIN)?.state.place ?? 0;
    return {
      serves: true,
      place,
      confirmed: machine.core.place,
      facts: `${machine.name} is the head, stands at ${place} and knows ${machine.core.place} as confirmed`,
    };
  }
  return { serves: false, place: 0, confirmed: 0, facts: "no head serves" };
}

function queueSight(storages: readonly StorageMachine[], queue: string, now: number): Sight {
  for (const machine of storages) {
    if (!machine.alive || machine.frozen) continue;
    const held = (
      machine.core.status(now)["queues"] as Record<
        string,
        { owner: boolean; place: number; confirmed: number }
      >
    )[queue];
    if (held?.owner === true)
      return {
        serves: true,
        ...held,
        facts: `${machine.name} owns it, stands at ${held.place} and knows ${held.confirmed} as confirmed`,
      };
  }
  return { serves: false, place: 0, confirmed: 0, facts: "no owner serves" };
}

/** What the newest view waits for. */
function reason(chain: string, view: ChainView, machines: readonly Machine[]): string {
  const state = (member: Member): string => stateOf(member, chain, view, machines);
  const facts: string[] = [`view ${view.mark} of ${view.members.length}`];
  for (const member of view.members) facts.push(`member ${state(member)}`);
  for (const member of holdersOf(view))
    if (!view.members.some(isSame, member)) facts.push(`holder ${state(member)}`);
  if (view.joiner !== undefined) facts.push(`joiner ${state(view.joiner)}`);
  if (view.members.length < 2) facts.push("too few members to confirm");
  if (chain === CONTROL_CHAIN) facts.push(votersThere(view, machines));
  return facts.join(", ");
}

function votersThere(view: ChainView, machines: readonly Machine[]): string {
  const voters = view.voters ?? view.members;
  let alive = 0;
  for (const voter of voters) if (machineOf(voter, machines)?.alive === true) alive += 1;
  const isMajority = alive > voters.length / 2;
  return `${alive} of ${voters.length} voters are there${isMajority ? "" : ", which is no majority"}`;
}

function stateOf(
  member: Member,
  chain: string,
  view: ChainView,
  machines: readonly Machine[],
): string {
  const machine = machineOf(member, machines);
  if (machine === undefined) return `${member.identity} is gone with its disk`;
  if (!machine.alive) return `${machine.name} is down`;
  const held = machine.folder!.holdings().get(chain)?.state;
  const mark =
    held === undefined
      ? "nothing of it"
      : held.view.mark < view.mark
        ? `only view ${held.view.mark}`
        : "this view";
  return `${machine.name} holds ${mark} up to ${held?.place ?? 0}`;
}

function machineOf(member: Member, machines: readonly Machine[]): Machine | undefined {
  for (const machine of machines) if (machine.folder?.identity === member.identity) return machine;
  return undefined;
}

function isSame(this: Member, member: Member): boolean {
  return member.identity === this.identity;
}
