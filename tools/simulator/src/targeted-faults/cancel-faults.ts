import type { Campaign } from "../campaign/campaign.js";
import { startIfDown } from "../campaign/fleet.js";
import type { StorageMachine } from "../machines.js";
import { isAt, type SentMessage } from "./messages.js";
import { changeManner } from "./runner-faults.js";

/** The targeted fault of lots that are cancelled with prompts under way (docs/testing.md §2). */

/** ms. Between which lots are cancelled, and when runners calm down. */
const STRIKES_FROM = 8_000;
const STRIKES_UNTIL = 17_000;
const CALM_FROM = 18_000;
/** How runners behave meanwhile, and afterwards. */
const BREAKING = { tear: 0.6, pieceMs: 250 };
const CALM = { tear: 0.03, pieceMs: 25 };
/** Share of grants whose lot is cancelled, and ms from the grant to the cancel. */
const CANCELLED_SHARE = 0.2;
const CANCELLED_AFTER = 100;
/** Every so many-th owner dies that is told of a cancel; within so many ms, and until it is back. */
const KILLED_EVERY = 3;
const KILLED_WITHIN = [0.5, 6] as const;
const OWNER_BACK_AFTER = 1_000;

/** Lots are cancelled with prompts under way, whose links break; every third time the owner dies as it is told. */
export function cancelAndBreak(campaign: Campaign): void {
  const { world } = campaign;
  changeManner(campaign, BREAKING);
  world.at(CALM_FROM, () => changeManner(campaign, CALM));
  let cancels = 0;
  function watch(_from: string, to: string, message: unknown): undefined {
    const { kind, outcome, command } = message as SentMessage;
    if (kind === "queue-inquiry" && command?.kind === "cancel") {
      cancels += 1;
      const owner = campaign.storages.find(isAt, { address: to });
      if (cancels % KILLED_EVERY === 0) killOwner(campaign, owner);
    } else if (kind === "queue-result" && outcome?.value?.kind === "TAKEN")
      cancelSome(campaign, outcome.value.lot);
  }
  world.watch = watch;
}

function killOwner({ world }: Campaign, owner: StorageMachine | undefined): void {
  if (owner === undefined || world.now > STRIKES_UNTIL) return;
  world.after(world.chance.between(...KILLED_WITHIN), () => owner.kill(false));
  world.after(OWNER_BACK_AFTER, () => startIfDown(owner));
}

/** Cancels the lot of a grant, with some of the grants. */
function cancelSome(campaign: Campaign, granted: string | undefined): void {
  const { world, sight, lotClients } = campaign;
  if (world.now < STRIKES_FROM || world.now > STRIKES_UNTIL) return;
  if (!world.chance.happens(CANCELLED_SHARE)) return;
  for (const lot of sight.lots) {
    if (lot.lot !== granted || lot.cancelAskedAt !== undefined) continue;
    world.after(CANCELLED_AFTER, () => lotClients.cancel(lot));
  }
}

/** Prompts that were under way as their lot was cancelled, and came back. */
export function countBackToCancelled({ sight }: Campaign): number {
  const cancelled = new Map<string, number>();
  for (const { key, cancelledAt } of sight.lots)
    if (cancelledAt !== undefined) cancelled.set(key, cancelledAt);
  let count = 0;
  for (const { ending, prompt, at } of sight.runs) {
    if (ending !== "torn" || typeof prompt === "string") continue;
    const { key } = (prompt ?? { key: "" }) as { key: string };
    if (at < (cancelled.get(key) ?? 0)) count += 1;
  }
  return count;
}
