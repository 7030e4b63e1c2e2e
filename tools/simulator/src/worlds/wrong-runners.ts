import type { PassageEvent, PassageOutput, PassageWork } from "@chutewick/data";
import type { AccessMachine } from "../machines.js";
import { eventCount, eventData } from "./answers.js";
import type { LinkOutput, Router } from "./router.js";
import type { Site } from "./site.js";

/** How often a runner's answer comes wrong, by the way in which it does. */
export const WRONGS = {
  late: 0.06,
  doubled: 0.08,
  cut: 0.08,
  swapped: 0.06,
  "reset unread": 0.05,
  refused: 0.05,
} as const;
export type Wrong = keyof typeof WRONGS | "right";

/** ms between two events of a runner, and of one that is late. */
const EVENT_EVERY = [2, 60] as const;
const LATE_EVENT_EVERY = [300, 2_500] as const;
const CONNECTS_IN = [0.5, 4] as const;

type Run = Extract<PassageOutput, { readonly kind: "pass-run" }>;

/** One step of an answer on its way. */
interface Step {
  readonly after: number;
  readonly event: PassageEvent;
}

interface Link {
  readonly access: AccessMachine;
  readonly life: number;
  readonly run: Run;
  abandoned: boolean;
}

/** Runners, and the links to them, whose answers come late, doubled, cut or swapped, or not at all. */
export class WrongRunners {
  /** Told of each run that begins. */
  began: (id: string) => void = () => undefined;
  readonly #site: Site;
  readonly #links = new Map<string, Link>();
  readonly #frozenUntil = new Map<string, number>();
  readonly #gone = new Set<string>();
  #lastId = "nobody";
  /** Whether answers come wrong. */
  wrong = true;

  constructor(site: Site, router: Router) {
    this.#site = site;
    router.links = (access, output) => this.#asked(access, output);
  }

  freeze(address: string, milliseconds: number): void {
    this.#frozenUntil.set(address, this.#site.now + milliseconds);
  }

  /** Connections to it are refused, and those that stand are reset. */
  crash(address: string, milliseconds: number): void {
    this.#gone.add(address);
    this.#site.deployment.world.after(milliseconds, () => this.#gone.delete(address));
  }

  #asked(access: AccessMachine, output: LinkOutput): void {
    const key = `${access.name}/${access.life}/${output.go}`;
    if (output.kind === "pass-run") {
      const link = { access, life: access.life, run: output, abandoned: false };
      this.#links.set(key, link);
      const { chance, deployment } = this.#site;
      deployment.world.after(chance.between(...CONNECTS_IN), () => this.#connected(link));
    } else if (output.kind === "pass-abandon") {
      const link = this.#links.get(key);
      if (link !== undefined) link.abandoned = true;
      this.#links.delete(key);
    }
  }

  #connected(link: Link): void {
    const { access, run } = link;
    if (link.abandoned) return;
    access.mine(() => {
      if (access.life !== link.life || link.abandoned) return;
      const reason = this.#gone.has(run.address)
        ? "connection refused"
        : access.core.mayStartOnPassage(run.go, this.#site.now);
      if (reason === undefined) return this.#begin(link);
      access.perform(
        access.core.handlePassageEvent(run.go, { kind: "unsent", reason }, this.#site.now),
      );
    })();
  }

  #begin(link: Link): void {
    const { request } = link.run.work;
    const wrong = this.#wrongOf();
    if (wrong !== "right") this.#site.history.fault(`answer ${wrong}`);
    if (wrong !== "reset unread" && wrong !== "refused") this.began(request.id);
    const steps = this.#steps(link.run.work, wrong);
    this.#lastId = request.id;
    this.#play(link, steps, wrong === "late" || wrong === "doubled");
  }

  #wrongOf(): Wrong {
    if (!this.wrong) return "right";
    let fate = this.#site.chance.next();
    for (const [wrong, part] of Object.entries(WRONGS)) {
      fate -= part;
      if (fate < 0) return wrong as Wrong;
    }
    return "right";
  }

  #steps(work: PassageWork, wrong: Wrong): Step[] {
    const { chance } = this.#site;
    const [least, most] = wrong === "late" ? LATE_EVENT_EVERY : EVENT_EVERY;
    const later = (event: PassageEvent): Step => ({ after: chance.between(least, most), event });
    const broken = later({ kind: "broken", reason: "connection reset" });
    if (wrong === "reset unread") return [broken];
    if (wrong === "refused")
      return [later({ kind: "refused", status: 503, retryAfter: 0.1, otherRunner: false })];
    /** The answer to another call lacks the stamp that belongs to this one. */
    const of = wrong === "swapped" ? this.#lastId : work.request.id;
    const head: PassageEvent = {
      kind: "head",
      status: 200,
      headers: [],
      stamped: wrong !== "swapped",
    };
    const steps = [later(head), ...answerOf(of, work).map(later), later({ kind: "end" })];
    if (wrong === "cut") return [...steps.slice(0, 1 + chance.below(steps.length - 1)), broken];
    if (wrong === "doubled") return doubled(steps, chance.happens(0.5));
    return steps;
  }

  /** `stubborn`: the runner's words go on coming although the call was given up or answered. */
  #play(link: Link, steps: readonly Step[], stubborn: boolean): void {
    const [step, ...rest] = steps;
    if (step === undefined) return;
    const { world } = this.#site.deployment;
    const { access, run } = link;
    const frozenFor = Math.max(0, (this.#frozenUntil.get(run.address) ?? 0) - this.#site.now);
    world.after(step.after + frozenFor, () => {
      if (link.abandoned && !stubborn) return;
      const reset = this.#gone.has(run.address);
      const event: PassageEvent = reset ? { kind: "broken", reason: "runner gone" } : step.event;
      access.mine(() => {
        if (access.life === link.life)
          access.perform(access.core.handlePassageEvent(run.go, event, this.#site.now));
      })();
      if (!reset) this.#play(link, rest, stubborn);
    });
  }
}

/** Each event is told twice, or the whole answer is. */
function doubled(steps: readonly Step[], whole: boolean): Step[] {
  if (whole) return [...steps, ...steps];
  return steps.flatMap((step) => (step.event.kind === "event" ? [step, step] : [step]));
}

/** What the link tells of an answer: whole events where the work is a stream of them, else bytes. */
function answerOf(id: string, work: PassageWork): PassageEvent[] {
  const events: PassageEvent[] = [];
  for (let number = (work.resumeAfter ?? 0) + 1; number <= eventCount(id); number += 1) {
    const data = eventData(id, number);
    const bytes = new TextEncoder().encode(data);
    events.push(work.events ? { kind: "event", number, data, bytes } : { kind: "data", bytes });
  }
  return events;
}
