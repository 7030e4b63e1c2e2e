/** Routes of the configuration, by the names under which callers ask for them. */
import type { Configuration, Way } from "@chutewick/control";
import { errorReply, type ErrorReply } from "./error-reply.js";

/** The route of a name; undefined where there is none. */
export function findRoute({ ways }: Configuration, name: string): Way | undefined {
  return Object.hasOwn(ways, name) ? ways[name] : undefined;
}

/** Tells a caller that there is no such route. */
export function unknownRoute(ticket: string, name: string): ErrorReply {
  return errorReply(ticket, 404, { trouble: "unknown-way", reason: `there is no way ${name}` });
}
