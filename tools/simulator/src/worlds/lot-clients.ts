import type { LotReply } from "@chutewick/data";
import { wholeText } from "./answers.js";
import { HOST } from "./configuration.js";
import type { Enter, Router } from "./router.js";
import type { Site } from "./site.js";

/** ms that a caller waits for an answer. */
const PATIENCE = 2_500;
const ITEMS_MOST = 3;

type Told = (told: LotReply | undefined) => void;

/** Callers that hand in lots and later read each of those that were taken. */
export class LotClients {
  readonly #site: Site;
  readonly #router: Router;
  #number = 0;
  stopped = false;

  constructor(site: Site, router: Router) {
    this.#site = site;
    this.#router = router;
  }

  #ask(enter: Enter, told: Told): void {
    const router = this.#router;
    const { ticket } = router.enter(enter, (output, own) => {
      if (output.kind === "lot-told" && router.forget(own)) told(output.told);
    });
    this.#site.deployment.world.after(PATIENCE, () => {
      if (router.forget(ticket)) told(undefined);
    });
  }

  /** Hands in a new lot once; whether it was taken. */
  handIn(told: (taken: boolean) => void): void {
    const site = this.#site;
    this.#number += 1;
    const id = `lot/${this.#number}.x`;
    const items = 1 + site.chance.below(ITEMS_MOST);
    const entries = Array.from({ length: items }, (_, index) => entryOf(`${id}-${index}`));
    const lot = { lot: id, host: HOST, path: "/slips/x", entries, credential: undefined };
    const enter: Enter = (access, ticket) => access.core.lots.submit(ticket, lot, site.now);
    this.#ask(enter, (answer) => {
      site.history.count(`lot ${answer?.kind ?? "unanswered"}`);
      if (answer?.kind === "taken") site.history.lots.push({ id, items, acceptedAt: site.now });
      told(answer?.kind === "taken");
    });
  }

  keepHandingIn(every: readonly [least: number, most: number]): void {
    const { chance, deployment } = this.#site;
    const handIn = (): void => {
      if (this.stopped) return;
      this.handIn(() => undefined);
      deployment.world.after(chance.between(...every), handIn);
    };
    handIn();
  }

  /** Reads every lot that was taken; each must still be there whole. */
  readAll(triesMost: number): void {
    for (const { id, items } of this.#site.history.lots) this.#readOne(id, items, triesMost);
  }

  #readOne(id: string, items: number, tries: number): void {
    const { history } = this.#site;
    const site = this.#site;
    if (tries === 0) return history.violate("lot-unreadable", `${id} cannot be read at the end`);
    const enter: Enter = (access, ticket) =>
      access.core.lots.read(
        ticket,
        { lot: id, host: HOST, credential: undefined },
        { from: 0, hold: 0 },
        site.now,
      );
    this.#ask(enter, (told) => {
      if (told?.kind === "missing")
        return history.violate("lot-lost", `${id} was taken and is missing`);
      if (told?.kind !== "results") return this.#readOne(id, items, tries - 1);
      history.count("lot read back");
      if (told.total !== items) history.violate("lot-lost", `${id} has ${told.total} of ${items}`);
      for (const { item, state, text } of told.results) this.#checkResult(id, item, state, text);
    });
  }

  #checkResult(lot: string, item: string, state: "solved" | "failed", text: string): void {
    const { history } = this.#site;
    history.count(`item ${state}`);
    if (!item.startsWith(`${lot}-`))
      history.violate("someone-elses", `${lot} lists ${item}, which is of another lot`);
    if (state === "solved" && text !== wholeText(item))
      history.violate("wrong-result", `${item} is solved with ${JSON.stringify(text)}`);
  }
}

function entryOf(id: string) {
  return {
    id,
    path: `/slips/${id}`,
    headers: [],
    body: new TextEncoder().encode(`body of ${id}`),
    tokens: 10,
    model: "m1",
  };
}
