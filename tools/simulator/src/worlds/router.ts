import type { AccessOutput, PassageOutput } from "@chutewick/data";
import type { AccessMachine } from "../machines.js";
import type { Site } from "./site.js";

/** What an access node tells a caller by its ticket. */
export type CallerOutput = Extract<PassageOutput, { readonly ticket: string }>;
/** What an access node asks of its links to runners. */
export type LinkOutput = Exclude<PassageOutput, { readonly ticket: string }>;

export type Enter = (access: AccessMachine, ticket: string) => readonly AccessOutput[];

/** Where a request was entered, and under which ticket. */
export interface Entered {
  readonly access: AccessMachine;
  readonly ticket: string;
}

/** Enters callers' requests at access nodes and hands what the nodes tell to whom it is meant for. */
export class Router {
  /** Takes what is asked of links to runners; nobody does where a world plays no runners. */
  links: ((access: AccessMachine, output: LinkOutput) => void) | undefined;
  readonly #site: Site;
  readonly #callers = new Map<string, (output: CallerOutput) => void>();
  #ticketNumber = 0;

  constructor(site: Site) {
    this.#site = site;
    for (const access of site.accesses)
      access.passing = (output) => {
        if ("ticket" in output) this.#callers.get(output.ticket)?.(output);
        else this.links?.(access, output);
      };
  }

  /** Enters a request at any access node; its ticket and its node, with which the caller may leave. */
  enter(enter: Enter, told: (output: CallerOutput, ticket: string) => void): Entered {
    const access = this.#site.chance.pick(this.#site.accesses);
    this.#ticketNumber += 1;
    const ticket = `caller-${this.#ticketNumber}`;
    this.#callers.set(ticket, (output) => told(output, ticket));
    if (access.alive) access.mine(() => access.perform(enter(access, ticket)))();
    return { access, ticket };
  }

  /** Nothing more is told for this ticket. */
  forget(ticket: string): boolean {
    return this.#callers.delete(ticket);
  }
}
