import type { ControlCommand } from "@chutewick/control";
import type { Order } from "./history.js";
import type { Action, CrashAction, HostAction, MessageAction, OperatorAction } from "./schedule.js";
import { DRIFT, TICK, type Host, type Message, type World } from "./world.js";

/** The message that an action names, if it is under way. */
export function find(world: World, action: MessageAction): Message | undefined {
  let index = 0;
  for (const message of world.network) {
    if (message.from !== action.from || message.to !== action.to) continue;
    if (message.body.kind !== action.message) continue;
    if (index === action.index) return message;
    index += 1;
  }
  return undefined;
}

/** Performs an action; one that makes no sense in this state changes nothing, so that schedules can be shortened. */
export function apply(world: World, action: Action): void {
  switch (action.kind) {
    case "settle":
      return world.settle();
    case "tick":
      return world.tick();
    case "heal":
      return world.cuts.clear();
    case "pass":
      return world.pass(action.duration);
    case "deliver":
    case "lose":
    case "repeat":
      return transfer(world, action);
    case "order":
    case "again":
    case "read":
      return ask(world, action);
    default:
      return applyToHost(world, action);
  }
}

function transfer(world: World, action: MessageAction): void {
  const message = find(world, action);
  if (message === undefined) return;
  if (action.kind === "lose") world.drop(message);
  else if (world.isDeliverable(message)) world.deliver(message, action.kind === "repeat");
}

function applyToHost(world: World, action: CrashAction | HostAction): void {
  const host = world.own(action.host);
  if (host === undefined) return;
  if (action.kind === "start") {
    if (host.process === undefined) world.start(host);
  } else if (action.kind === "wipe") wipe(world, host);
  else if (host.process !== undefined) applyToProcess(world, host, action);
}

function applyToProcess(world: World, host: Host, action: CrashAction | HostAction): void {
  switch (action.kind) {
    case "crash":
      return world.crash(host, action.kept);
    case "sync":
      return host.disk.unsynced.length > 0 && !host.isFrozen ? world.sync(host) : undefined;
    case "stop":
    case "retire":
      return leave(world, host, action.kind);
    case "isolate":
    case "deafen":
    case "silence":
      return cut(world, host, action.kind);
    default:
      hinder(host, action.kind);
      return action.kind === "wake" ? world.isUp(host) : undefined;
  }
}

/** A process, a disk or a clock that does not keep up, or does again. */
function hinder(host: Host, kind: HostAction["kind"]): void {
  if (kind === "freeze" || kind === "wake") host.isFrozen = kind === "freeze";
  else if (kind === "stall" || kind === "unstall") host.isStalled = kind === "stall";
  else if (kind === "fast") host.rate = 1 + DRIFT;
  else if (kind === "slow") host.rate = 1 - DRIFT;
}

/** The disk is lost, with everything on it; only while fewer than may be lost at once are. */
function wipe(world: World, host: Host): void {
  if (!mayLose(world, host)) return;
  world.lost.add(host.name);
  world.wipe(host);
}

/** A machine that is stopped for good counts as lost from the asking on. */
function leave(world: World, host: Host, kind: "stop" | "retire"): void {
  if (host.isFrozen || (kind === "retire" && !mayLose(world, host))) return;
  if (kind === "retire") world.lost.add(host.name);
  world.leave(host, kind);
}

/** Whether one more machine may be lost now with its disk. */
export function mayLose(world: World, host: Host): boolean {
  return !world.lost.has(host.name) && world.lost.size < world.setup.losses;
}

function cut(world: World, host: Host, kind: "isolate" | "deafen" | "silence"): void {
  for (const other of world.hosts.keys()) {
    if (other === host.name) continue;
    if (kind !== "deafen") world.cuts.add(`${host.name}>${other}`);
    if (kind !== "silence") world.cuts.add(`${other}>${host.name}`);
  }
}

function ask(world: World, action: OperatorAction): void {
  const host = world.own(action.host);
  if (host?.process === undefined || host.kind !== "control" || host.isFrozen) return;
  const { history } = world;
  if (action.kind === "read") {
    const ticket = history.asked(undefined, action.operator);
    return world.inquire(host, ticket, { kind: "read" });
  }
  const order =
    action.kind === "order"
      ? newOrder(world, action.operator)
      : history.orders.get(action.operator);
  if (order === undefined) return;
  world.inquire(host, history.asked(order, action.operator), commandOf(world, order));
}

/** An operator's next order: on what it knows to be in force, under the next mark. */
function newOrder({ history }: World, operator: string): Order {
  const expected = history.bases.get(operator) ?? 0;
  const origin = `${operator}:${history.ticketNumber}`;
  const order = { operator, mark: expected + 1, expected, origin };
  history.orders.set(operator, order);
  return order;
}

/** The command by which an order is sent. */
export function commandOf({ setup }: World, { expected, mark, origin }: Order): ControlCommand {
  return { kind: "put", expected, mark, value: setup.configuration, origin };
}

/** ms. Past a few beats, and past the silence after which a machine is voted out. */
export const SHORT_PASS = TICK * 3;
export const LONG_PASS = TICK * 11;
