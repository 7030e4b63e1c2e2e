import type { Change } from "@chutewick/parts";
import { keys } from "../keys.js";
import type { ActBody, ActName, DutyKind } from "./duty-acts.js";
import type { DutyRecord } from "./duty-ledger.js";

/** A subject of a duty: its acts share fence and holder. */
export type DutySubject = Pick<ActName, "duty" | "subject">;

/** The confirmed records of duties as one control machine knows them; they may be behind those of the head. */
export class DutyRecords {
  readonly #records = new Map<string, DutyRecord>();
  readonly #bodies = new Map<string, ActBody>();

  /** Confirmed changes of any control records. */
  take(changes: Iterable<Change>): void {
    for (const [key, value] of changes) {
      if (key.startsWith(keys.duty)) put(this.#records, key, value);
      else if (key.startsWith(keys.act)) put(this.#bodies, key, value);
    }
  }

  /** All control records, in place of what was known. */
  restore(records: Iterable<Change>): void {
    this.#records.clear();
    this.#bodies.clear();
    this.take(records);
  }

  record(subject: DutySubject): DutyRecord | undefined {
    return this.#records.get(keys.dutyKey(subject));
  }

  /** Acts that are decided and not finished, with what they say. */
  *openActs(): Generator<ActName & { readonly body: ActBody }> {
    for (const [subject, { open }] of this.all())
      for (const number of open) {
        const act = { ...subject, number };
        const body = this.#bodies.get(keys.actKey(act));
        if (body !== undefined) yield { ...act, body };
      }
  }

  *all(): Generator<[DutySubject, DutyRecord]> {
    for (const [key, record] of this.#records) yield [subjectOf(key), record];
  }
}

function put<Value>(records: Map<string, Value>, key: string, value: unknown): void {
  if (value === undefined || value === null) records.delete(key);
  else records.set(key, value as Value);
}

function subjectOf(key: string): DutySubject {
  const named = key.slice(keys.duty.length);
  const cut = named.indexOf("/");
  return { duty: named.slice(0, cut) as DutyKind, subject: named.slice(cut + 1) };
}
