/** Lookup of routes (`ways` in the configuration) by name. */
import type { Configuration, Way } from "@chutewick/control";
import { errorReply, type ErrorReply } from "./error-reply.js";

/** The route of this name; undefined if there is none. */
export function findRoute({ ways }: Configuration, name: string): Way | undefined {
  return Object.hasOwn(ways, name) ? ways[name] : undefined;
}

/** The reply to a caller who named a route that does not exist. */
export function unknownRoute(ticket: string, name: string): ErrorReply {
  return errorReply(ticket, 404, { trouble: "unknown-way", reason: `there is no way ${name}` });
}
