/** Validates a lot submitted on a route and builds the command that admits it to its queue (docs/design.md §5.1). */
import { createHash } from "node:crypto";
import { constants, type QueueCommand } from "@chutewick/parts";
import { configuration, type Way } from "@chutewick/control";
import { errorReply, type ErrorReply } from "./error-reply.js";
import { lotName } from "./lot-names.js";
import { unknownRoute } from "./routes.js";

const MAX_KEY_CHARACTERS = 200;

/** A lot as submitted by a caller, not validated yet. */
export interface LotSubmission {
  readonly ticket: string;
  readonly routeName: string;
  /** Idempotency key chosen by the caller: the same key denotes the same lot. */
  readonly key: unknown;
  readonly items: unknown;
  readonly labels: unknown;
}

/** A validated lot with the command for the owner of its queue. */
export interface CheckedLot {
  readonly kind: "checked";
  readonly queue: string;
  readonly lot: string;
  /** Number of its items. */
  readonly count: number;
  /** Deadline of the lot, in ms after it is admitted. */
  readonly lasts: number;
  readonly command: QueueCommand;
}

interface LotContent {
  readonly kind: "content";
  readonly key: string;
  readonly items: unknown[];
  readonly labels: Readonly<Record<string, string>>;
}

/** Returns the validated lot with its queue, or the error reply to the caller. */
export function checkLot(
  submission: LotSubmission,
  route: Way | undefined,
): CheckedLot | ErrorReply {
  const { ticket, routeName } = submission;
  if (route === undefined) return unknownRoute(ticket, routeName);
  if (route.kind !== "lot")
    return errorReply(ticket, 405, {
      trouble: "wrong-kind",
      reason: `${routeName} does not take lots`,
    });
  const content = checkContent(submission);
  return content.kind === "reply" ? content : toCheckedLot(content, routeName, route);
}

function checkContent({ ticket, key, items, labels }: LotSubmission): LotContent | ErrorReply {
  if (typeof key !== "string" || key.length === 0 || key.length > MAX_KEY_CHARACTERS)
    return badBodyReply(ticket, "key: must be a text of 1 to 200 characters of the caller's own");
  if (!Array.isArray(items) || items.length === 0)
    return badBodyReply(ticket, "items: must be a list with at least one prompt");
  if (items.length > constants.maxLotItems)
    return errorReply(ticket, 413, {
      trouble: "lot-too-large",
      reason: `items: ${constants.maxLotItems} at most`,
    });
  const checkedLabels = configuration.labelsOf(labels ?? {});
  if (checkedLabels === undefined)
    return badBodyReply(
      ticket,
      'labels: must be an object of label names and values, such as {"shift": "night"}, 20 at most',
    );
  return { kind: "content", key, items, labels: checkedLabels };
}

function toCheckedLot(
  { key, items, labels }: LotContent,
  routeName: string,
  route: Way,
): CheckedLot {
  const queue = configuration.queueOf(route.model!, route.adapter);
  const lot = lotName(queue, routeName, key);
  const lasts =
    route.deadlineSeconds === undefined
      ? constants.defaultLotDeadlineMs
      : route.deadlineSeconds * 1_000;
  const command: QueueCommand = {
    kind: "admit",
    lot,
    way: routeName,
    body: digestOf(items, labels),
    prompts: items,
    labels: { ...labels, ...route.labels, way: routeName },
    lasts,
    allowance: 0,
  };
  return { kind: "checked", queue, lot, count: items.length, lasts, command };
}

/** Digest by which the owner detects that a key is reused with another body. */
function digestOf(items: readonly unknown[], labels: Readonly<Record<string, string>>): string {
  const content = Object.keys(labels).length === 0 ? items : [labels, items];
  return createHash("sha256").update(JSON.stringify(content)).digest("base64url");
}

function badBodyReply(ticket: string, reason: string): ErrorReply {
  return errorReply(ticket, 400, { trouble: "bad-body", reason });
}
