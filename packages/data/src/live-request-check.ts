/** Checks a live request against its route, and words what its runner is asked for (docs/design.md §6). */
import type { Way } from "@chutewick/control";
import { runnerRequestBody } from "./access-jobs.js";
import type { Work } from "./access-output.js";
import { errorReply, type ErrorReply } from "./error-reply.js";
import { unknownRoute } from "./routes.js";

/** A live request as it arrived. */
export interface LiveArrival {
  readonly ticket: string;
  readonly routeName: string;
  /** The body that was posted, not checked yet. */
  readonly body: unknown;
  /** Path below the route, of a request that was made with GET. */
  readonly path: string | undefined;
}

/** A request that may be sent to a runner. */
export interface CheckedRequest {
  readonly kind: "checked";
  readonly route: Way;
  readonly work: Work;
}

/** The route and the work of a request, or the error that its caller is told. */
export function checkLiveRequest(
  arrival: LiveArrival,
  route: Way | undefined,
): CheckedRequest | ErrorReply {
  const { ticket, routeName, path } = arrival;
  if (route === undefined) return unknownRoute(ticket, routeName);
  if (route.kind === "lot")
    return wrongKind(ticket, `${routeName} takes lots: hand them in at /lots/${routeName}`);
  if (route.kind === "fetch") {
    if (path === undefined) return wrongKind(ticket, `${routeName} is fetched with GET`);
    return { kind: "checked", route, work: { kind: "fetch", request: ticket, path } };
  }
  if (path !== undefined) return wrongKind(ticket, `${routeName} takes inquiries by POST`);
  const prompt = promptOf(arrival);
  if (prompt.kind === "reply") return prompt;
  const { model, adapter } = route;
  const body = runnerRequestBody({ request: ticket, model, adapter, prompt: prompt.value });
  return { kind: "checked", route, work: { kind: route.kind, request: ticket, body } };
}

function promptOf({
  ticket,
  body,
}: LiveArrival): { readonly kind: "prompt"; readonly value: unknown } | ErrorReply {
  if (typeof body !== "object" || body === null || Array.isArray(body))
    return badBody(ticket, "the body must be one JSON object");
  const value = (body as { readonly prompt?: unknown }).prompt;
  if (value === undefined) return badBody(ticket, "prompt: is needed");
  return { kind: "prompt", value };
}

function wrongKind(ticket: string, reason: string): ErrorReply {
  return errorReply(ticket, 405, { trouble: "wrong-kind", reason });
}

function badBody(ticket: string, reason: string): ErrorReply {
  return errorReply(ticket, 400, { trouble: "bad-body", reason });
}
