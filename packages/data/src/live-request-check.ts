/** Validates a live request against its route, and builds the work for its runner (docs/design.md §6). */
import type { Way } from "@chutewick/control";
import { runnerRequestBody } from "./access-jobs.js";
import type { RunnerWork } from "./access-output.js";
import { errorReply, type ErrorReply } from "./error-reply.js";
import { unknownRoute } from "./routes.js";

/** A live request as received, not validated yet. */
export interface LiveArrival {
  readonly ticket: string;
  readonly routeName: string;
  /** Body of the POST request. */
  readonly body: unknown;
  /** Path below the route; undefined unless the request was made with GET. */
  readonly path: string | undefined;
}

/** A valid request, with the work to send to a runner. */
export interface CheckedRequest {
  readonly kind: "checked";
  readonly route: Way;
  readonly work: RunnerWork;
}

/** Validates a request. @returns its route and work, or the error for its caller */
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
  const prompt = readPrompt(arrival);
  if (prompt.kind === "reply") return prompt;
  const { model, adapter } = route;
  const body = runnerRequestBody({ request: ticket, model, adapter, prompt: prompt.value });
  return { kind: "checked", route, work: { kind: route.kind, request: ticket, body } };
}

function readPrompt({
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
