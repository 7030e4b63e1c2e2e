import { Campaign } from "./campaign/campaign.js";
import type { LotRecord } from "./checker.js";

/** Figures in virtual time: `npm run measure` (docs/measurements.md). */
function calmFleet(tokens: number, windowSeconds: number): Campaign {
  const campaign = new Campaign({
    seed: 7,
    faults: false,
    tokens,
    windowSeconds,
    allowance: 1_000_000,
  });
  for (const runner of campaign.runners)
    runner.manner = { trouble: 0, tear: 0, lie: 0, silent: 0, short: 0, firstMs: 60, pieceMs: 25 };
  campaign.begin();
  campaign.world.run(8_000);
  return campaign;
}

function handIn(campaign: Campaign, key: string, count: number): LotRecord {
  const lot: LotRecord = { key, count, tries: [], views: [], handIns: [] };
  campaign.sight.lots.push(lot);
  campaign.lotClients.submit(lot, "slips");
  return lot;
}

/** The source's limit on one queue, with more waiting than can be drawn. */
export function rateHeld(
  tokens: number,
  windowSeconds: number,
  seconds: number,
): { taken: number; ideal: number } {
  const campaign = calmFleet(tokens, windowSeconds);
  const start = campaign.world.now;
  const ideal = tokens + (tokens / windowSeconds) * seconds;
  for (let lot = 0; lot * 500 < ideal * 1.5; lot += 1) handIn(campaign, `rate-${lot}`, 500);
  campaign.world.run(start + seconds * 1_000);
  return { taken: campaign.sight.runs.length, ideal };
}

const chainKinds = [
  "queue-inquiry",
  "queue-result",
  "entries",
  "taken",
  "confirm",
  "probe",
  "probed",
  "life",
];

function kindsOf(campaign: Campaign): number {
  let sum = 0;
  for (const kind of chainKinds) sum += campaign.world.kinds.get(kind) ?? 0;
  return sum;
}

/** Messages and syncs of one lot of twenty: an idle span is taken off. */
export function costOfLot(): {
  messages: number;
  syncs: number;
  idleMessages: number;
  acceptedMs: number;
} {
  const campaign = calmFleet(100, 1);
  const { world } = campaign;
  const idleStart = kindsOf(campaign);
  world.run(world.now + 3_000);
  const idle = kindsOf(campaign) - idleStart;
  const before = kindsOf(campaign);
  const syncs = world.syncs;
  const start = world.now;
  const lot = handIn(campaign, "cost", 20);
  world.run(world.now + 3_000);
  return {
    messages: kindsOf(campaign) - before - idle,
    syncs: world.syncs - syncs,
    idleMessages: idle,
    acceptedMs: Math.round((lot.acceptedAt ?? Number.NaN) - start),
  };
}

/** A live request touches no storage or control machine. */
export function costOfRequest(): { messages: number; syncs: number; runs: number } {
  const campaign = calmFleet(100, 1);
  const { world } = campaign;
  const idleStart = world.messages;
  world.run(world.now + 3_000);
  const idle = world.messages - idleStart;
  const before = world.messages;
  const syncs = world.syncs;
  for (let number = 0; number < 100; number += 1) campaign.liveClients.request();
  world.run(world.now + 3_000);
  return {
    messages: world.messages - before - idle,
    syncs: world.syncs - syncs,
    runs: campaign.sight.runs.length,
  };
}
