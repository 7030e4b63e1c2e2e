import { LotClients } from "./lot-clients.js";
import { observeNodes } from "./observers.js";
import { Operators, type OperatorOptions } from "./operators.js";
import { awaitRecovery } from "./recovery.js";
import { Router } from "./router.js";
import { Site } from "./site.js";

const LOT_EVERY = [400, 1_200] as const;
const OPERATORS = 2;
const READERS = 2;
/** ms at the end in which the last answers come. */
const LAST_ANSWERS = 6_000;
/** ms at the end in which orders under way are still sent again. */
const LAST_ORDERS = 40_000;
const LOT_READ_TRIES = 4;

/** One run: a site, its clients, and the script of a world. */
export class Session {
  readonly site: Site;
  readonly operators: Operators;
  readonly router: Router;
  readonly lots: LotClients;

  constructor(seed: number, options: Partial<OperatorOptions> = {}) {
    this.site = new Site(seed);
    this.operators = new Operators(this.site, options);
    this.router = new Router(this.site);
    this.lots = new LotClients(this.site, this.router);
  }

  /** Starts the site with a first configuration, its background clients, and the observers of its nodes. */
  begin(operators = OPERATORS): void {
    this.site.start();
    this.#firstOrder();
    observeNodes(this.site);
    for (let number = 0; number < operators; number += 1) this.operators.keepOrdering();
    for (let number = 0; number < READERS; number += 1) this.operators.keepReading();
    this.lots.keepHandingIn(LOT_EVERY);
    this.site.wait(2_000);
  }

  #firstOrder(): void {
    let confirmed = false;
    this.operators.submit(this.operators.newOrder(0, 1), () => {
      confirmed = true;
    });
    while (!confirmed) this.site.wait(50);
    this.site.wait(1_000);
  }

  /** Everything is mended; waits until it is served again. */
  recover(): void {
    this.site.mend();
    awaitRecovery(this.site, this.operators, this.lots);
  }

  /** The last recovery, after which everything that was confirmed must be read. */
  end(): void {
    const { site } = this;
    this.recover();
    this.operators.stopped = true;
    this.lots.stopped = true;
    const began = site.now;
    while (this.operators.open > 0 && site.now - began < LAST_ORDERS) site.wait(100);
    site.wait(LAST_ANSWERS);
    for (const control of site.controls) this.operators.read(control, () => undefined);
    this.lots.readAll(LOT_READ_TRIES);
    site.wait(LAST_ANSWERS);
  }
}
