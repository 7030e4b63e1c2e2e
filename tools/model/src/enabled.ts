import { LONG_PASS, SHORT_PASS, mayLose } from "./actions.js";
import type { Action } from "./schedule.js";
import type { Host, World } from "./world.js";

/** Which actions are worth trying in a state. */

/** Messages that are sent again and again by the clock are delivered with the others, never alone. */
const PERIODIC: ReadonlySet<string> = new Set([
  "greet",
  "roll",
  "runners",
  "session",
  "lease",
  "controls",
  "fellow-ask",
  "fellow-tell",
]);

/** Messages of one link, from its oldest on, that are handled one by one. */
const MESSAGES_OF_LINK = 3;
/** Transactions of one machine of which a crash keeps each possible number. */
const UNSYNCED_MOST = 3;

export const OPERATORS = ["x", "y"] as const;

/** Deviations from a run without faults, of which a schedule may have a bounded number. */
const FAULTS: ReadonlySet<Action["kind"]> = new Set([
  "crash",
  "wipe",
  "isolate",
  "deafen",
  "silence",
  "freeze",
  "stall",
  "fast",
  "slow",
  "stop",
  "retire",
]);

export function isFault(action: Action): boolean {
  return FAULTS.has(action.kind);
}

export function enabledActions(world: World): Action[] {
  const actions: Action[] = [];
  const isMoving = world.network.length > 0 || hasUnsynced(world);
  if (isMoving) actions.push({ kind: "settle" });
  actions.push({ kind: "pass", duration: SHORT_PASS }, { kind: "pass", duration: LONG_PASS });
  actions.push({ kind: "tick" });
  for (const operator of OPERATORS) actions.push(...operatorActions(world, operator));
  actions.push(...messageActions(world));
  for (const host of world.of("control")) actions.push(...controlActions(world, host));
  for (const kind of ["access", "storage"] as const)
    for (const host of world.of(kind)) actions.push(...nodeActions(host));
  if (world.cuts.size > 0) actions.push({ kind: "heal" });
  return actions;
}

function hasUnsynced(world: World): boolean {
  for (const host of world.hosts.values()) if (host.disk.unsynced.length > 0) return true;
  return false;
}

/** The second operator acts only after the first, as they are alike. */
function operatorActions(world: World, operator: string): Action[] {
  const { orders, questions } = world.history;
  if (operator !== "x" && !orders.has("x")) return [];
  const actions: Action[] = [];
  for (const host of world.of("control")) {
    if (host.process === undefined || host.isFrozen) continue;
    actions.push({ kind: "order", operator, host: host.name });
    if (orders.has(operator)) actions.push({ kind: "again", operator, host: host.name });
    if (operator === "x" && questions.size < 3)
      actions.push({ kind: "read", operator, host: host.name });
  }
  return actions;
}

function messageActions(world: World): Action[] {
  const actions: Action[] = [];
  const counts = new Map<string, number>();
  for (const { from, to, body } of world.network) {
    if (PERIODIC.has(body.kind)) continue;
    const link = `${from}>${to}`;
    const index = counts.get(`${link} ${body.kind}`) ?? 0;
    const count = counts.get(link) ?? 0;
    counts.set(`${link} ${body.kind}`, index + 1);
    counts.set(link, count + 1);
    if (count >= MESSAGES_OF_LINK || world.host(to).isFrozen) continue;
    for (const kind of ["deliver", "lose", "repeat"] as const)
      actions.push({ kind, from, to, message: body.kind, index });
  }
  return actions;
}

function controlActions(world: World, host: Host): Action[] {
  const { name } = host;
  const actions: Action[] = [];
  if (mayLose(world, host)) actions.push({ kind: "wipe", host: name });
  if (host.process === undefined) return [...actions, { kind: "start", host: name }];
  if (host.isFrozen) return [...actions, { kind: "wake", host: name }];
  const { unsynced } = host.disk;
  for (let kept = 0; kept <= Math.min(unsynced.length, UNSYNCED_MOST); kept += 1)
    actions.push({ kind: "crash", host: name, kept });
  if (unsynced.length > 0) actions.push({ kind: "sync", host: name });
  for (const kind of ["isolate", "deafen", "silence", "freeze"] as const)
    actions.push({ kind, host: name });
  actions.push({ kind: host.isStalled ? "unstall" : "stall", host: name });
  if (host.leaving === undefined) actions.push({ kind: "stop", host: name });
  if (host.leaving === undefined && mayLose(world, host))
    actions.push({ kind: "retire", host: name });
  if (host.rate === 1) actions.push({ kind: "fast", host: name }, { kind: "slow", host: name });
  return actions;
}

function nodeActions(host: Host): Action[] {
  const { name, rate } = host;
  if (host.process === undefined) return [{ kind: "start", host: name }];
  if (host.isFrozen) return [{ kind: "wake", host: name }];
  const actions: Action[] = [
    { kind: "isolate", host: name },
    { kind: "freeze", host: name },
    { kind: "crash", host: name, kept: 0 },
  ];
  if (rate === 1) actions.push({ kind: "slow", host: name });
  return actions;
}
