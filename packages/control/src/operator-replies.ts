/** HTTP replies of the built-in interface to operators (docs/interface.md). */
import { metrics, reply, replyWithError } from "@chutewick/shell";
import { constants } from "@chutewick/parts";
import type { ServerResponse } from "node:http";
import type { ControlOutcome } from "./control-messages.js";
import { isClaimResult } from "./duties/duty-ledger.js";
import type { ControlResult } from "./machine.js";

/** Replies with the outcome of a control command. */
function sendOutcome(response: ServerResponse, result: ControlOutcome): void {
  metrics.changed(result.kind === "confirmed" ? result.value.kind : result.kind);
  if (result.kind === "not-run")
    return replyWithError(response, 503, {
      trouble: "not-run",
      reason: result.reason,
      retryAfter: constants.retryAfter,
    });
  if (result.kind === "unknown")
    return replyWithError(response, 504, {
      trouble: "unknown",
      reason:
        "whether the change takes effect is not known yet; send it again with the same Idempotency-Key, or read the configuration and its mark",
    });
  sendResult(response, result.value);
}

function sendResult(response: ServerResponse, value: ControlResult): void {
  if (isClaimResult(value)) return reply(response, 200, { done: true });
  switch (value.kind) {
    case "IN_FORCE":
      return reply(response, 200, {
        mark: value.mark,
        ...(value.warnings === undefined ? {} : { warnings: value.warnings }),
      });
    case "CONFLICT":
      return replyWithError(response, 409, {
        trouble: "conflict",
        reason: `the mark is ${value.mark} by now; nothing was changed`,
        mark: value.mark,
      });
    case "UNKNOWN_MACHINE":
    case "TOO_FEW":
    case "REFUSED":
      return replyWithError(response, 422, { trouble: "refused", reason: value.reason });
    case "UNDER_WAY":
    case "DONE":
      return reply(response, 200, { done: true });
    case "EMPTYING":
      return reply(response, 200, { state: value.state ?? null });
    case "CONFIGURATION":
      return reply(
        response,
        200,
        {
          mark: value.mark,
          configuration: value.value,
          ...(value.origin === undefined ? {} : { origin: value.origin }),
        },
        { etag: `"${value.mark}"` },
      );
  }
}

export const operatorReplies = { sendOutcome };
