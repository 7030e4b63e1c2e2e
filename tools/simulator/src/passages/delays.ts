import type { PassPlay } from "./pass-play.js";
import type { ItemRecord, LotSight } from "./records.js";

/** Delays that clients of lots on passages meet, in ms of virtual time. */

/** ms until a lot just handed in is read, how long a read is held, and until runs are under way. */
const FIRST_READ_AFTER = 300;
const HOLD = 1_000;
const RUNS_AFTER = 500;
/** ms that a dispatcher is away, and for which it is watched afterwards. */
const AWAY = 100;
const WATCHED = 10_000;
/** ms within which every hand-in must be answered, and between two looks. */
const ANSWERED_WITHIN = 6_000;
const LOOK_EVERY = 10;

/** One lot, read with a hold by one client; the ms from the end of each run to the telling of its result. */
export function heldReadDelays(play: PassPlay, until: number): number[] {
  const { world } = play;
  const delays: number[] = [];
  const lot = play.lotClients.handIn();
  function read(): void {
    if (lot.shown.length === lot.items.size || world.now > until) return;
    const before = lot.shown.length;
    const askedAt = world.now;
    play.lotReader.read(lot, { from: before, hold: HOLD }, () => {
      for (const { item, state } of lot.shown.slice(before)) {
        const { finishedAt } = lot.items.get(item)!;
        if (state === "solved" && finishedAt > askedAt) delays.push(world.now - finishedAt);
      }
      read();
    });
  }
  world.after(FIRST_READ_AFTER, read);
  world.run(until);
  return delays;
}

/**
 * The only dispatcher dies amid its runs and begins anew; the ms from its first draw until the last of those runs begins again, or
 * undefined where the lot's client asked for its end meanwhile.
 */
export function newLifeDelay(play: PassPlay): number | undefined {
  const { world } = play;
  const [access] = play.accesses;
  const lot = play.lotClients.handIn();
  world.run(world.now + RUNS_AFTER);
  const interrupted: ItemRecord[] = [];
  for (const item of lot.items.values())
    if (item.runs > 0 && !item.finished && !item.poisoned) interrupted.push(item);
  access!.kill(false);
  world.run(world.now + AWAY);
  access!.start();
  const drawnAt = firstDrawAt(play, access!.address);
  if (lot.endAskedAt !== undefined) return undefined;
  let last = interrupted.length === 0 ? Number.POSITIVE_INFINITY : 0;
  for (const { runs, begunAt } of interrupted)
    last = Math.max(last, runs > 1 ? begunAt : Number.POSITIVE_INFINITY);
  return last - drawnAt;
}

/**
 * A runner goes dark amid its runs, and is heard no more; the ms until the last item of the lot that it ran is finished.
 * Undefined where the lot's client asked for its end.
 */
export function darkRunnerDelay(play: PassPlay): number | undefined {
  const { world } = play;
  const lot = play.lotClients.handIn();
  world.run(world.now + RUNS_AFTER);
  if (lot.endAskedAt !== undefined) return undefined;
  const dark = play.runners.find((runner) => runner.runs.size > 0);
  if (dark === undefined) return Number.POSITIVE_INFINITY;
  dark.isDark = true;
  const darkAt = world.now;
  world.run(world.now + WATCHED * 2);
  if (lot.endAskedAt !== undefined) return undefined;
  let last = 0;
  for (const { finished, finishedAt, poisoned } of lot.items.values())
    if (!poisoned) last = Math.max(last, finished ? finishedAt : Number.POSITIVE_INFINITY);
  return last - darkAt;
}

/** Runs on, and tells when a node first drew from the queue meanwhile. */
function firstDrawAt({ world }: PassPlay, address: string): number {
  let drawnAt = Number.POSITIVE_INFINITY;
  function watch(from: string, _to: string, message: unknown): undefined {
    const { kind, command } = message as { kind: string; command?: { kind: string } };
    if (from === address && kind === "queue-inquiry" && command?.kind === "draw")
      drawnAt = Math.min(drawnAt, world.now);
  }
  world.watch = watch;
  world.run(world.now + WATCHED);
  return drawnAt;
}

/** Lots handed in one after another, every so many ms, and how long each client waited for its first word. */
export function handInDelays(play: PassPlay, count: number, every: number): number[] {
  const { world } = play;
  const lots: LotSight[] = [];
  for (let number = 0; number < count; number += 1) {
    lots.push(play.lotClients.handIn());
    world.run(world.now + every);
  }
  const until = world.now + ANSWERED_WITHIN;
  let delays: number[] = [];
  while (world.now < until && delays.length < count) {
    world.run(world.now + LOOK_EVERY);
    delays = [];
    for (const { toldAt, firstAt } of lots) if (toldAt !== undefined) delays.push(toldAt - firstAt);
  }
  world.mend();
  play.judgeLots();
  return delays;
}
