/** Applies commands on lots of passages to a queue. */
import type { PassCommand, PassResult } from "./pass-messages.js";
import type { PassQueue } from "./pass-queue.js";
import { passReads } from "./pass-reads.js";
import type { Context } from "./queue-bucket.js";

/** Applies one command atomically; reads change no record. */
export function applyPassCommand(
  queue: PassQueue,
  context: Context,
  command: PassCommand,
): PassResult {
  switch (command.kind) {
    case "hand-in":
      return queue.submit(context, command);
    case "draw":
      return queue.dequeue(context, command);
    case "settle":
      return queue.settle(context, command);
    case "end":
      return queue.end(context, command);
    case "drop-way":
      return queue.dropPassage(context, command.way);
    case "results":
      return passReads.results(context.ledger, command, queue.isDirectoryComplete);
    case "read-item":
      return passReads.readItem(context.ledger, command);
  }
}
