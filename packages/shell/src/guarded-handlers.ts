/** Answers to requests whose handlers throw: one request's exception is answered and logged, and ends nothing (docs/design.md §10.4). */
import type { ServerResponse } from "node:http";
import type { ServiceSchema } from "moleculer";
import type { Log } from "./log.js";
import { metrics } from "./metrics.js";
import { replyWithError } from "./reply.js";

/** What the requests of all gateways have in common. */
interface Answerable {
  readonly path: string;
  readonly reply: ServerResponse;
}

type Handler = (request: Answerable) => unknown;

/** Returns a service whose event handlers answer 500 to a request for which they throw. */
export function withErrorReplies(service: ServiceSchema, log: Log): ServiceSchema {
  const events: Record<string, Handler> = {};
  for (const [name, handler] of Object.entries(service.events ?? {}))
    events[name] = guarded(handler as Handler, log);
  return { ...service, events: events };
}

function guarded(handler: Handler, log: Log): Handler {
  // The library passes its own context instead of the request if the parameter is named "context".
  return async function handle(request: Answerable): Promise<void> {
    try {
      await handler(request);
    } catch (error) {
      const { path, reply } = request;
      metrics.noted("a request failed by an exception");
      log.error({ path, err: error }, "a request failed by an exception");
      replyWithError(reply, 500, { trouble: "internal", reason: "this request failed" });
    }
  };
}
