import type { TargetedFault } from "../campaign/campaign.js";
import type { CampaignOptions } from "../campaign/options.js";
import { cancelAndBreak, countBackToCancelled } from "./cancel-faults.js";
import {
  countSentAgain,
  cutHead,
  holdFeed,
  malformedThenKill,
  oldSnapshot,
  raceThenKill,
} from "./configuration-faults.js";
import { loneControlLost, loneQueueLost, loseDiskInPair, loseForGood } from "./copy-losses.js";
import {
  deregistrationWithoutControl,
  killHearers,
  oldAnnouncement,
} from "./deregistration-faults.js";
import { allDisks, fullOverPowerLoss, oneControlDisk, oneStorageDisk } from "./disk-troubles.js";
import {
  cutStorage,
  emptyThenWipe,
  freezeStorage,
  killAll,
  powerAll,
  replaceStorage,
  wipeControlAndPower,
  wipeStorage,
  wipeStorageAndPower,
} from "./losses.js";
import {
  countOutOfTime,
  countRanInPool,
  countTornItems,
  delayGrants,
  freezeDispatchers,
  moveShares,
  nothing,
  refuseThenAdmit,
  tearPrompts,
} from "./lot-faults.js";
import { diskAfterPromise, powerAfterPromise } from "./promise-faults.js";
import {
  breakLastLinks,
  breakLinks,
  closeShort,
  countMayHaveRun,
  countNotRun,
  countShortStreams,
  countTornLive,
  cutRunners,
  killRunners,
  skipPieces,
} from "./runner-faults.js";

/** The name of the fault that is played with real links over sockets, and not in a simulated fleet. */
export const SWAPPED_FAULT = "runners answer for another";

/** A campaign in which nothing but the targeted fault strikes. */
const calm: Partial<CampaignOptions> = { faults: false, stormy: 14_000, calm: 14_000 };
/** The same on disks as slow as the slowest of the deployments. */
const losses: Partial<CampaignOptions> = {
  faults: false,
  stormy: 16_000,
  calm: 26_000,
  syncTakes: [5, 12],
};

/** All targeted faults by name (docs/testing.md §2 and §3); features and the proof table name them so. */
export const targetedFaults: Readonly<Record<string, TargetedFault>> = {
  "links break after the first byte": {
    rule: "runs-twice",
    options: calm,
    set: breakLinks,
    struck: countTornLive,
  },
  "streams break with the caller still there": {
    rule: "stream-pieces",
    options: calm,
    set: breakLinks,
    struck: countTornLive,
  },
  "the last runner's links break": {
    rule: "not-run-ran",
    options: calm,
    set: breakLastLinks,
    struck: countTornLive,
  },
  "streams close short": {
    rule: "partial-looks-whole",
    options: calm,
    set: closeShort,
    struck: countShortStreams,
  },
  "runners skip pieces": {
    rule: "stream-pieces",
    options: calm,
    set: skipPieces,
    struck: countMayHaveRun,
  },
  "dispatchers sleep on their claims": {
    rule: "result-changed",
    options: { ...calm, tokens: 100 },
    set: freezeDispatchers,
  },
  "power is lost after a promise": { rule: "lot-items", options: calm, set: powerAfterPromise },
  "the disk is lost after a promise": { rule: "lot-items", options: calm, set: diskAfterPromise },
  "links break three times and more": {
    rule: "given-up-early",
    options: calm,
    set: tearPrompts,
    struck: countTornItems,
  },
  "a refused hand-in meets room": {
    rule: "refused-lot-ran",
    options: {
      ...calm,
      calm: 34_000,
      tokens: 3,
      allowance: 20,
      lotItems: 1,
      lotTries: 1,
      lotEvery: [40, 160],
    },
    set: refuseThenAdmit,
  },
  "grants come late to cancelled lots": {
    rule: "cancelled-lot-ran",
    options: { ...calm, tokens: 10 },
    set: delayGrants,
  },
  "a node's feed is held up": {
    rule: "change-ignored",
    alarm: "behind-control",
    options: calm,
    set: holdFeed,
  },
  "an old digest comes last": { rule: "slips-back", options: calm, set: oldSnapshot },
  "the head is cut off with a change half confirmed": {
    rule: "confirmed-gone",
    options: calm,
    set: cutHead,
  },
  "malformed changes while the head dies": {
    rule: "refused-takes-effect",
    options: calm,
    set: malformedThenKill,
  },
  "two operators race while the head dies": {
    rule: "two-winners",
    options: calm,
    set: raceThenKill,
  },
  "eight operators race and lose most answers": {
    rule: "taken-then-refused",
    options: { ...calm, racing: { operators: 8, lostAnswers: 0.7 } },
    set: nothing,
    struck: countSentAgain,
  },
  "shares move while owners sleep": {
    rule: "allowance",
    options: { calm: 70_000, season: 60, tokens: 4, lotEvery: [30, 150] },
    set: moveShares,
  },
  "all runners die with prompts under way": {
    rule: "allowance",
    options: { ...calm, calm: 26_000, season: 30, tokens: 40, lotItems: 4, lotEvery: [20, 80] },
    set: killRunners,
  },
  "the node that heard a goodbye dies": { rule: "goodbye", options: calm, set: killHearers },
  "a goodbye is heard without control": {
    rule: "goodbye",
    options: calm,
    set: deregistrationWithoutControl,
  },
  "an announcement is read after the goodbye": {
    rule: "goodbye",
    options: calm,
    set: oldAnnouncement,
  },
  "short times across the storm": {
    rule: "given-up-early",
    options: { deadlineSeconds: 4, tokens: 3, allowance: 200 },
    set: nothing,
    struck: countOutOfTime,
  },
  "prompts come back to cancelled lots": {
    rule: "cancelled-lot-ran",
    options: { ...calm, calm: 24_000, tokens: 10 },
    set: cancelAndBreak,
    struck: countBackToCancelled,
  },
  "runners that one node cannot reach": {
    rule: "pace",
    options: { ...calm, calm: 34_000, tokens: 10, lotItems: 14, lotEvery: [250, 450] },
    set: cutRunners,
    struck: countNotRun,
  },
  "a control disk is lost while another is away": {
    rule: "service",
    options: { ...calm, stormy: 13_000, calm: 26_000 },
    set: loseDiskInPair,
  },
  "seasons select lots and runners by labels": {
    rule: "season-runners",
    options: { season: 60, tokens: 6, labelled: true, stormy: 20_000, calm: 40_000 },
    set: nothing,
    struck: countRanInPool,
  },
  /** Real links over sockets, not a simulated fleet (../swapped.ts). */
  [SWAPPED_FAULT]: { rule: "someone-elses", options: {}, set: nothing },
  "the lone control machine loses its disk": {
    rule: "service",
    options: { ...calm, stormy: 16_000, calm: 26_000 },
    set: loneControlLost,
  },
  "the lone copy of a queue loses its disk": {
    rule: "service",
    options: { ...calm, stormy: 16_000, calm: 26_000 },
    set: loneQueueLost,
  },
  "all processes are killed at once": { rule: "service", options: losses, set: killAll },
  "all machines lose power at once": { rule: "service", options: losses, set: powerAll },
  "a storage disk is lost and all other machines lose power": {
    rule: "service",
    options: losses,
    set: wipeStorageAndPower,
  },
  "a control disk is lost and all other machines lose power": {
    rule: "service",
    options: losses,
    set: wipeControlAndPower,
  },
  "a storage machine loses its disk right after a promise": {
    rule: "service",
    options: losses,
    set: wipeStorage,
  },
  "a storage machine is replaced by an empty one elsewhere": {
    rule: "service",
    options: losses,
    set: replaceStorage,
  },
  "a storage machine is frozen for 3 s": { rule: "service", options: losses, set: freezeStorage },
  "a storage disk is full for 8 s": {
    rule: "service",
    options: losses,
    set: oneStorageDisk("full"),
  },
  "a storage disk does not answer for 8 s": {
    rule: "service",
    options: losses,
    set: oneStorageDisk("stalled"),
  },
  "a control disk is full for 8 s": {
    rule: "service",
    options: losses,
    set: oneControlDisk("full"),
  },
  "a control disk does not answer for 8 s": {
    rule: "service",
    options: losses,
    set: oneControlDisk("stalled"),
  },
  "all disks are full for 4 s": { rule: "service", options: losses, set: allDisks("full") },
  "all disks do not answer for 4 s": {
    rule: "service",
    options: losses,
    set: allDisks("stalled"),
  },
  "two disks are full as all machines lose power": {
    rule: "service",
    options: losses,
    set: fullOverPowerLoss,
  },
  "a storage machine is cut off for 5 s": { rule: "service", options: losses, set: cutStorage },
  "a storage machine is emptied and then another loses its disk": {
    rule: "service",
    options: losses,
    set: emptyThenWipe,
  },
  "machines are lost for good": {
    rule: "service",
    options: { ...calm, stormy: 14_000, calm: 26_000 },
    set: loseForGood,
  },
};
