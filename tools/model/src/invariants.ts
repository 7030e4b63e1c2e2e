import { holdersOf, majority, votersOf } from "@chutewick/parts";
import { chainOf, heldInMemory, heldOnDisk, type Held } from "./inspect.js";
import { AccessProcess, ControlProcess, StorageProcess } from "./process.js";
import type { Host, World } from "./world.js";

/** What must hold in every state; what must hold of answers stands in history.ts. */
export function checkState(world: World): void {
  for (const host of world.hosts.values()) checkHost(world, host);
}

/** What must hold of one machine, after an event that changed no other. */
export function checkHost(world: World, host: Host): void {
  if (host.process instanceof ControlProcess) checkControl(world, host);
  else if (host.process !== undefined && !host.isFrozen) checkNode(world, host);
}

/** One view for a number; the newest view's head, once it serves, holds all that was confirmed. */
function checkControl(world: World, host: Host): void {
  const chain = chainOf(host)!;
  const { history } = world;
  if (chain.view === undefined) return;
  history.sawView(chain.view);
  if (chain.view.mark !== history.newest!.mark || !chain.serves) return;
  const missing = missingIn(world, heldInMemory(chain));
  if (missing !== undefined)
    history.violate(
      "a view that serves holds what was confirmed",
      `${host.name} heads view ${chain.view.mark} without ${missing}`,
    );
}

/** The mark of a confirmed order that is not held; undefined where all are. */
function missingIn({ history }: World, held: Held): number | undefined {
  if (held.mark < history.toldMark) return history.toldMark;
  for (const mark of history.told.keys()) if (!held.taken.has(mark)) return mark;
  return undefined;
}

/** A node that takes new work has a majority's word, and works by what was told as in force. */
function checkNode(world: World, host: Host): void {
  const { membership } = host.process as AccessProcess | StorageProcess;
  if (!membership.holds(host.clock)) return;
  const { history } = world;
  if (!hasMajority(world, host.name))
    history.violate("nobody serves without a majority's word", `${host.name} at ${world.now} ms`);
  const { mark } = membership.configuration;
  if (mark < history.toldMark)
    history.violate(
      "a confirmed change is in force",
      `${host.name} works by ${mark}, confirmed is ${history.toldMark}`,
    );
}

function hasMajority({ history, now }: World, node: string): boolean {
  for (const [mark, view] of history.decided) {
    const granters = new Set(holdersOf(view).map(({ identity }) => identity));
    let count = 0;
    for (const grant of history.grants)
      if (grant.node === node && grant.mark === mark && grant.until >= now)
        if (granters.has(grant.granter)) count += 1;
    if (count > granters.size / 2) return true;
  }
  return false;
}

/** A machine is let go only when so many others hold all that was confirmed that the losses still to come leave one. */
export function checkLetGo(world: World, leaving: Host): void {
  let others = 0;
  for (const host of world.of("control"))
    if (host !== leaving && missingIn(world, heldOnDisk(host.disk)) === undefined) others += 1;
  const lostBeside = world.lost.size - (world.lost.has(leaving.name) ? 1 : 0);
  if (others < world.setup.policy.copiesLeast - lostBeside)
    world.history.violate(
      "a leaving member is let go when others hold all",
      `${leaving.name} goes, ${others} others hold what was confirmed`,
    );
}

/** A member is let go only when those who stay, as far as they were up since it was to stop, have a majority and copies enough to confirm. */
export function checkCanGoOn(world: World, leaving: Host): void {
  const view = chainOf(leaving)?.view;
  const { upSince } = leaving;
  if (view === undefined || upSince === undefined) return;
  let voters = 0;
  for (const { identity } of votersOf(view))
    if (identity !== leaving.disk.identity && upSince.has(identity)) voters += 1;
  let copies = 0;
  for (const { identity } of view.members) if (upSince.has(identity)) copies += 1;
  if (voters < majority(view) || copies < world.setup.policy.copiesLeast)
    world.history.violate(
      "a leaving member is let go when others can go on",
      `${leaving.name} goes, view ${view.mark} has ${voters} of ${votersOf(view).length} voters and ${copies} copies that were up`,
    );
}
