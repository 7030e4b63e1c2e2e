import { policy, type Policy } from "@chutewick/parts";
import { apply } from "./actions.js";
import { parse } from "./schedule.js";
import { World, type Setup } from "./world.js";

/** Start states, each made by a calm run of the product from blank folders. */

const alone: Policy = { ...policy.defaults, goesOnAlone: true };
const twoLosses: Policy = {
  ...alone,
  copiesLeast: 3,
  copiesWanted: 4,
  othersLeast: 3,
  controlsWanted: 5,
};
const NOTHING_CONFIGURED = {};

/** Three members; four machines: a spare that can take a lost one's place; five members of which two may be lost. */
export function setupOf(machines: number): Setup {
  const names = ["a", "b", "c", "d", "e"].slice(0, machines);
  const members = machines === 5 ? 5 : 3;
  return {
    name: `${machines} machines`,
    controls: names,
    seeds: names.slice(0, members),
    access: ["n"],
    storage: [],
    policy: machines === 5 ? twoLosses : alone,
    losses: machines === 5 ? 2 : 1,
    configuration: NOTHING_CONFIGURED,
  };
}

const LONG = "pass 2200";

/** What is done, from a formed group with one confirmed order, to reach a named start state. */
const preludes: Readonly<Record<string, Prelude>> = {
  formed: { schedule: [] },
  /** One was voted out and is still away. */
  pair: { schedule: ["crash c 0", LONG, LONG] },
  /** An order has just come to the head, whose disk syncs nothing. */
  stalled: { schedule: ["stall a", "order x a"] },
  /** A node whose clock goes slower than all others' is cut off, and still holds its lease. */
  severed: { schedule: ["slow n", "isolate n"] },
  /** The head was cut off and voted out, does not know it, and an order was confirmed without it. */
  deposed: { schedule: ["isolate a", LONG, LONG, "order x b", LONG] },
  /** One stopped, and the first proposal of a view without it has just been sent. */
  electing: { schedule: ["crash c 0"], until: isProposed },
  /** An order has just come to the head. */
  ordering: { schedule: ["order x a"] },
  /** A disk was lost, and its blank machine has just been named as joiner; nobody else knows it yet. */
  joining: { schedule: ["wipe c", "start c"], until: hasJoiner },
  /** One that was voted out is back and named as joiner, but its disk syncs nothing. */
  rejoining: {
    schedule: ["crash c 0", LONG, LONG, "start c", "stall c"],
    until: hasJoiner,
  },
  /** One froze just now, and another one is to stop for good. */
  retiring: { schedule: ["freeze c", "retire a"] },
  /** Of the pair one more stopped as the third came back: the one left has just been agreed on. */
  lone: { schedule: ["crash c 0", LONG, LONG, "start c", "crash b 0"], until: hasLone },
};

interface Prelude {
  readonly schedule: readonly string[];
  /** Time passes event by event after the schedule, until this holds. */
  readonly until?: (world: World) => boolean;
}

function isProposed({ network }: World): boolean {
  return network.some(({ body }) => body.kind === "prepare");
}

function hasJoiner({ history }: World): boolean {
  return history.newest?.joiner !== undefined;
}

function hasLone({ history, setup }: World): boolean {
  return (history.newest?.members.length ?? 0) < setup.policy.copiesLeast;
}

export const starts = Object.keys(preludes);

/** ms in which a calm group forms, and every member has waited out the leases that it may have granted. */
const FORMING = 6_000;

export function startState(setup: Setup, start: string, watched?: string): World {
  const world = World.of(setup);
  world.history.watched = watched;
  for (const host of world.ownAll())
    if (setup.seeds.includes(host.name) || host.kind !== "control") world.start(host, true);
  world.pass(FORMING);
  perform(world, ["order x a", "settle", LONG]);
  const { schedule, until } = preludes[start]!;
  perform(world, schedule);
  if (until !== undefined) world.passUntil(until);
  if (world.history.violation === undefined && world.history.toldMark === 0)
    throw new Error(`${start}: the calm run confirmed nothing`);
  return world;
}

function perform(world: World, schedule: readonly string[]): void {
  for (const line of schedule) apply(world, parse(line));
}
