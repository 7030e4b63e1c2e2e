import { holdersOf, type ChainView, type Member } from "@chutewick/parts";
import type { ControlMachine, StorageMachine } from "./machines.js";
import type { Machine } from "./world.js";

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
    for (const { folder } of controls) newest(views, "control", folder?.votes?.view, controls);
    for (const { folder } of controls)
      for (const [key, value] of folder?.holdings().get("control")?.records ?? [])
        if (key.startsWith("queue/")) newest(views, key.slice(6), value as ChainView, storages);
    for (const [chain, { view, machines }] of views) {
      const sight = chain === "control" ? controlSight(controls) : queueSight(storages, chain, now);
      const held = this.#progress.get(chain);
      if (
        held === undefined ||
        (sight.serves && (sight.confirmed >= sight.place || sight.confirmed !== held.confirmed))
      ) {
        this.#progress.set(chain, { confirmed: sight.confirmed, since: now });
        this.#told.delete(chain);
      } else if (now - held.since > bound && !this.#told.has(chain)) {
        this.#told.add(chain);
        found.push({
          chain,
          why: `for ${Math.round(now - held.since)} ms: ${reason(chain, view, machines)}; ${sight.facts}`,
        });
      }
    }
    return found;
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
    const place = machine.folder!.holdings().get("control")?.state.place ?? 0;
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
  const told: string[] = [`view ${view.mark} of ${view.members.length}`];
  for (const member of view.members) told.push(`member ${stateOf(member, chain, view, machines)}`);
  for (const member of holdersOf(view))
    if (!view.members.some(isSame, member))
      told.push(`holder ${stateOf(member, chain, view, machines)}`);
  if (view.joiner !== undefined) told.push(`joiner ${stateOf(view.joiner, chain, view, machines)}`);
  if (view.members.length < 2) told.push("too few members to confirm");
  if (chain !== "control") return told.join(", ");
  const voters = view.voters ?? view.members;
  let alive = 0;
  for (const voter of voters) if (machineOf(voter, machines)?.alive === true) alive += 1;
  told.push(
    `${alive} of ${voters.length} voters are there${alive > voters.length / 2 ? "" : ", which is no majority"}`,
  );
  return told.join(", ");
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
