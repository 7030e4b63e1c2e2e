import type { ControlOutcome } from "@chutewick/control";
import type { Site } from "./site.js";

/** ms. An emptying that takes longer than this is told as a violation. */
const EMPTIED_WITHIN = 40_000;
const ASK_AGAIN_AFTER = 500;
const LOOK_EVERY = 100;

type Answer = "taken" | "refused" | undefined;

/**
 * Orders a storage machine to be emptied, repeated until it is taken or refused, and waits until it is
 * emptied; false where it was refused or never came to an end.
 */
export function emptyStorage(site: Site, name: string, afterTaken: () => void): boolean {
  const { history } = site;
  const answer = order(site, name);
  history.count(`emptying ${answer ?? "unanswered"}`);
  if (answer !== "taken") return false;
  afterTaken();
  const began = site.now;
  while (!isEmptied(site, name)) {
    if (site.now - began > EMPTIED_WITHIN) {
      history.violate("emptying", `${name} is not emptied after ${EMPTIED_WITHIN} ms`);
      return false;
    }
    site.wait(LOOK_EVERY);
  }
  history.count("emptied");
  return true;
}

function order(site: Site, name: string): Answer {
  const { chance, deployment } = site;
  let answer: Answer;
  const began = site.now;
  while (answer === undefined && site.now - began < EMPTIED_WITHIN) {
    const { told } = deployment.order(
      { kind: "empty", identity: name, wanted: true },
      chance.pick(site.controls),
      ASK_AGAIN_AFTER,
    );
    answer = answerOf(told);
  }
  return answer;
}

function answerOf(told: ControlOutcome | undefined): Answer {
  if (told?.kind !== "confirmed") return undefined;
  const { kind } = told.value;
  return kind === "DONE" || kind === "UNDER_WAY" ? "taken" : "refused";
}

function isEmptied(site: Site, name: string): boolean {
  const { chance, controls, deployment } = site;
  const query = { kind: "emptying", machine: name } as const;
  const { told } = deployment.order(query, chance.pick(controls), ASK_AGAIN_AFTER);
  if (told?.kind !== "confirmed" || told.value.kind !== "EMPTYING") return false;
  return told.value.state === "emptied";
}
