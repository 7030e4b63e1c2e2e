import { commandOf } from "./actions.js";
import { isSettled } from "./recovery.js";
import type { Violation } from "./history.js";
import type { ControlProcess } from "./process.js";
import { TICK, type World } from "./world.js";

/** ms. Once everybody hears each other again the group serves within this: silence, two agreements, a copy, a lease. */
export const RECOVERY_BOUND = 10_000;
const OPERATOR = "liveness";

/**
 * Everything that failed comes back, and time passes with everything delivered: an order must be
 * confirmed at a machine of the group, and every node must work by it.
 */
export function checkRecovery(world: World): Violation | undefined {
  const copy = world.fork();
  repair(copy);
  let passed = 0;
  while (passed < RECOVERY_BOUND) {
    startAll(copy);
    copy.pass(TICK);
    passed += TICK;
    if (copy.history.violation !== undefined) return copy.history.violation;
    if (isServing(copy)) return undefined;
    orderAnew(copy, passed);
  }
  copy.history.violate(
    "the group serves again",
    `not ${RECOVERY_BOUND} ms after the last fault: ${describe(copy)}`,
  );
  return copy.history.violation;
}

function repair(world: World): void {
  world.cuts.clear();
  for (const host of world.ownAll()) {
    host.isFrozen = false;
    host.isStalled = false;
    if (host.leaving !== undefined) world.letGo(host);
  }
}

/** One that stops as planned meanwhile comes back as well. */
function startAll(world: World): void {
  for (const host of world.ownAll()) if (host.process === undefined) world.start(host);
}

function isServing(world: World): boolean {
  const { confirmed } = world.history;
  const isConfirmed = [...confirmed].some((ticket) => ticket.startsWith(OPERATOR));
  return isConfirmed && isSettled(world);
}

/** ms between two sendings of the operator's order, to one machine after another. */
const ASK_EVERY = TICK * 5;

function orderAnew(world: World, passed: number): void {
  if (passed % ASK_EVERY !== 0) return;
  const hosts = world.of("control");
  const host = world.own(hosts[(passed / ASK_EVERY) % hosts.length]!.name)!;
  if (host.process === undefined) return;
  const { history } = world;
  const expected = history.bases.get(OPERATOR) ?? 0;
  const known = history.orders.get(OPERATOR);
  const order =
    known?.expected === expected
      ? known
      : { operator: OPERATOR, expected, mark: expected + 1, origin: `${OPERATOR}:${passed}` };
  history.orders.set(OPERATOR, order);
  world.inquire(host, history.asked(order, OPERATOR), commandOf(world, order));
}

function describe(world: World): string {
  const views = world
    .of("control")
    .map(
      ({ name, process }) =>
        `${name} ${JSON.stringify((process as ControlProcess | undefined)?.core.view)}`,
    );
  return views.join(", ");
}
