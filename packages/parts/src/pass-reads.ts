/** Reads of lots on passages. */
import { constants } from "./constants.js";
import type { Ledger } from "./ledger.js";
import type { ListedResult, PassCommand, PassEntry, PassResult } from "./pass-messages.js";
import {
  indexedKey,
  isVisibleTo,
  passLotKey,
  tombstonePrefix,
  type PassLot,
} from "./pass-records.js";

/**
 * Listed results from a position on, as many as fit into one message. For a lot that is not here, tells what matters before the
 * id is assigned to another queue.
 */
function results(
  ledger: Ledger,
  { lot: id, from, reader }: Extract<PassCommand, { kind: "results" }>,
  isDirectoryComplete: boolean,
): PassResult {
  const lot = ledger.read<PassLot>(passLotKey(id));
  if (lot === undefined || !isVisibleTo(lot, reader))
    return {
      kind: "UNKNOWN_LOT",
      ...(ledger.read(tombstonePrefix + id) === undefined ? {} : { wasAccepted: true }),
      ...(isDirectoryComplete ? { isDirectoryComplete } : {}),
    };
  const results: ListedResult[] = [];
  let size = 0;
  for (let position = firstPosition(from); position < lot.listed; position += 1) {
    const result = ledger.read<ListedResult>(indexedKey("result", id, position))!;
    // A UTF-16 code unit takes at most three bytes in UTF-8.
    size += result.text.length * 3 + result.item.length * 3;
    if (results.length > 0 && size > constants.maxResultsBytes) break;
    results.push(result);
  }
  return { kind: "RESULTS", lot: id, total: lot.total, open: lot.open > 0, results };
}

/** A node of an earlier release hands on any number that a caller sent: a position that is none must not end the owner of the queue. */
function firstPosition(from: number): number {
  return Math.max(0, Math.ceil(from));
}

/** The body of an unfinished item, by the caller's id of the item. */
function readItem(
  ledger: Ledger,
  { lot: id, item, reader }: Extract<PassCommand, { kind: "read-item" }>,
): PassResult {
  const lot = ledger.read<PassLot>(passLotKey(id));
  if (lot === undefined || !isVisibleTo(lot, reader)) return { kind: "UNKNOWN_LOT" };
  for (let index = 0; index < lot.total; index += 1) {
    const entry = ledger.read<PassEntry>(indexedKey("body", id, index));
    if (entry?.id === item) return { kind: "BODY", body: entry.body };
  }
  return { kind: "UNKNOWN_LOT" };
}

/** Read-only commands on lots of passages. */
export const passReads = { results, readItem };
