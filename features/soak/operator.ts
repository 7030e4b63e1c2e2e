import { request } from "undici";
import { plainRoute, type OperatorDocument, type RouteDocument } from "../system/document.js";
import { ipOf, ports } from "../system/machine.js";
import { OrderHistory, valueOf } from "./order-history.js";
import type { Random } from "./random.js";
import { plainServices, soakDocument, type SoakSystem } from "./system.js";
import { now, pause } from "./time.js";
import { Versions, type Version } from "./versions.js";
import type { Violations } from "./violations.js";

/** ms. The operator moves on to another control machine after this silence. */
const answerPatience = 1_000;
/** ms. Between two sendings of one change. */
const resendAfter = 150;
/** ms. A change that got no clear answer for this long fails the run. */
const clearWithin = 40_000;
const changeEveryLeast = 500;
const changeEveryMost = 1_000;
/** Most routes that stand at once beside the first ones. */
const routesMost = 25;
/** Recently changed routes that probes look at. */
const recentMost = 12;

const chances = {
  read: 0.15,
  lostAnswer: 0.15,
  race: 0.12,
  remove: 0.3,
  move: 0.2,
  changeTimeOut: 0.1,
};

/** One change of named routes on top of a base. */
interface Change {
  readonly base: number;
  readonly version: Version;
  readonly body: string;
  readonly isAnswerLost: boolean;
}

/** Sends changes of the configuration to the control machines, and checks how they are answered. */
export class Operator {
  readonly versions = new Versions();
  /** Names of the routes changed last, the newest at the end. */
  readonly recentRoutes: string[] = [];
  acknowledged = 0;
  races = 0;
  lostAnswers = 0;
  #history = new OrderHistory();
  #system: SoakSystem;
  #violations: Violations;
  #random: Random;
  #routeCount = 0;
  #isOver = false;

  constructor(system: SoakSystem, violations: Violations, random: Random) {
    this.#system = system;
    this.#violations = violations;
    this.#random = random;
  }

  /** The first document, sent until it is taken. */
  async sendFirst(): Promise<void> {
    const version = this.#versionOf(soakDocument.revision, soakDocument.routes);
    const body = JSON.stringify(soakDocument);
    await this.#sendUntilClear("replace", { base: 0, version, body, isAnswerLost: false });
    this.#concluded(version, 0);
  }

  /** Changes the configuration until told to stop. */
  async run(): Promise<void> {
    while (!this.#isOver) {
      await pause(this.#random.between(changeEveryLeast, changeEveryMost));
      if (this.#random.chance(chances.read)) await this.#read();
      if (this.#random.chance(chances.race)) await this.#race();
      else await this.#changeOnce();
    }
  }

  /** No further change is begun. */
  stop(): void {
    this.#isOver = true;
  }

  /** Reads the newest configuration back and compares it with what was acknowledged. */
  async checkReadBack(): Promise<void> {
    const newest = this.versions.newest!;
    const document = await this.#read();
    if (document === undefined)
      return this.#violations.add("CONFIG_ORDERS", "the configuration cannot be read back");
    const hasSameRoutes = valueOf(document.routes) === valueOf(newest.routes.values());
    if (document.revision !== newest.revision || !hasSameRoutes)
      this.#violations.add(
        "CONFIG_ORDERS",
        `read back ${document.revision}, acknowledged ${newest.revision}, same routes ${hasSameRoutes}`,
      );
    this.#history.judge(this.#violations);
  }

  async #read(): Promise<OperatorDocument | undefined> {
    for (let attempt = 0; attempt < 20; attempt += 1) {
      const calledAt = now();
      const answer = await this.#call("GET", "read", {});
      if (answer?.status === 200) {
        const document = JSON.parse(answer.text) as OperatorDocument;
        this.#history.read(calledAt, document.revision, document.routes);
        return document;
      }
      await pause(resendAfter);
    }
    return undefined;
  }

  async #changeOnce(): Promise<void> {
    const isAnswerLost = this.#random.chance(chances.lostAnswer);
    if (isAnswerLost) this.lostAnswers += 1;
    const change = this.#draw(isAnswerLost);
    const status = await this.#sendUntilClear("modify", change);
    this.#concluded(change.version, status);
    if (status !== 200)
      this.#violations.add(
        "CONFIG_ORDERS",
        `change ${change.version.revision} on ${change.base} alone, answer lost ${isAnswerLost}: ${status}`,
      );
  }

  async #race(): Promise<void> {
    this.races += 1;
    const first = this.#draw(false);
    const pair = [first, this.#drawOther(first)] as const;
    const statuses = await Promise.all([
      this.#sendUntilClear("modify", pair[0]),
      this.#sendUntilClear("modify", pair[1]),
    ]);
    this.#concluded(pair[0].version, statuses[0]);
    this.#concluded(pair[1].version, statuses[1]);
    const taken = statuses.filter((status) => status === 200).length;
    if (taken === 1) return;
    this.#violations.add(
      "CONFIG_ORDERS",
      `a race on ${pair[0].base}: ${pair[0].version.revision} got ${statuses[0]}, ${pair[1].version.revision} got ${statuses[1]}`,
    );
  }

  #concluded(version: Version, status: number): void {
    this.#violations.note(`version ${version.revision} answered ${status}`);
    if (status === 412) version.state = "refused";
    if (version.state === "acknowledged") this.acknowledged += 1;
  }

  /** Another revision of the routes that stand, by one added, removed, moved or changed. */
  #draw(isAnswerLost: boolean): Change {
    const newest = this.versions.newest!;
    const base = newest.revision;
    const revision = base + this.#random.whole(1, 4);
    const routes = new Map(newest.routes);
    const [name, route] = this.#drawRoute(newest);
    if (route === undefined) routes.delete(name);
    else routes.set(name, route);
    const body = JSON.stringify({
      revision,
      ...(route === undefined ? { remove: { routes: [name] } } : { upsert: { routes: [route] } }),
    });
    this.recentRoutes.push(name);
    if (this.recentRoutes.length > recentMost) this.recentRoutes.shift();
    const version = this.#versionOf(revision, routes.values());
    const text = route === undefined ? "removed" : `${route.service} ${route.guardMs}`;
    this.#violations.note(`version ${revision} on ${base} sent: ${name} ${text}`);
    return { base, version, body, isAnswerLost };
  }

  /** A change that differs from another one on the same base: sent twice, the same change would rightly be taken twice. */
  #drawOther(first: Change): Change {
    let other = this.#draw(false);
    while (other.body === first.body) {
      other.version.state = "refused";
      other = this.#draw(false);
    }
    return other;
  }

  /** The name and what becomes of it; undefined where it is removed. */
  #drawRoute(newest: Version): [name: string, route: RouteDocument | undefined] {
    const random = this.#random;
    const drawn = [...newest.routes.values()].filter((route) => route.name.startsWith("drawn-"));
    const draw = random.next();
    if (drawn.length >= 3 || drawn.length >= routesMost) {
      const route = random.pick(drawn);
      const [printer, stamper] = plainServices;
      if (draw < chances.remove || drawn.length >= routesMost) return [route.name, undefined];
      if (draw < chances.remove + chances.move)
        return [route.name, { ...route, service: route.service === printer ? stamper : printer }];
      if (draw < chances.remove + chances.move + chances.changeTimeOut)
        return [route.name, { ...route, guardMs: random.whole(1_000, 3_000) }];
    }
    this.#routeCount += 1;
    const name = `drawn-${this.#routeCount}`;
    return [name, plainRoute(name, random.pick(plainServices))];
  }

  #versionOf(revision: number, routes: Iterable<RouteDocument>): Version {
    const byName = new Map<string, RouteDocument>();
    for (const route of routes) byName.set(route.name, route);
    return this.versions.sent(revision, byName, now());
  }

  /** Sends a change to one control machine after another until it is taken or refused; 0 where neither came. */
  async #sendUntilClear(verb: "replace" | "modify", change: Change): Promise<number> {
    const last = now() + clearWithin;
    let isAnswerLost = change.isAnswerLost;
    let wait = resendAfter;
    while (now() < last) {
      const headers = {
        "chutewick-base-revision": String(change.base),
        "content-type": "application/json",
      };
      const calledAt = now();
      const answer = await this.#call("POST", verb, headers, change.body);
      this.#history.sent(change, calledAt, isAnswerLost ? undefined : answer?.status);
      if (answer !== undefined && isClear(answer.status) && !isAnswerLost) {
        if (answer.status === 200) {
          change.version.state = "acknowledged";
          change.version.acknowledgedAt = now();
        }
        return answer.status;
      }
      if (answer !== undefined) isAnswerLost = false;
      await pause(wait);
      wait = Math.min(2 * wait, answerPatience);
    }
    return 0;
  }

  async #call(
    method: "GET" | "POST",
    verb: string,
    headers: Record<string, string>,
    body?: string,
  ): Promise<{ status: number; text: string } | undefined> {
    const { net, size } = this.#system;
    const control = `${ipOf(net, "core", this.#random.whole(1, size.core))}:${ports.control}`;
    try {
      const told = await request(`http://${control}/chutewick/configuration/${verb}`, {
        method,
        headers,
        ...(body === undefined ? {} : { body }),
        signal: AbortSignal.timeout(answerPatience),
      });
      return { status: told.statusCode, text: await told.body.text() };
    } catch {
      return undefined;
    }
  }
}

/** Whether an answer tells what became of the change. */
function isClear(status: number): boolean {
  return status === 200 || (status >= 400 && status < 500 && status !== 408 && status !== 429);
}
