/** A control machine's copy of the records of duties. */
import type { Change } from "@chutewick/parts";
import { keys } from "../keys.js";
import type { ActBody, ActName, DutyKind } from "./duty-acts.js";
import type { DutyRecord } from "./duty-ledger.js";

/** A subject of a duty: its acts share the holder and the fencing number. */
export type DutySubject = Pick<ActName, "duty" | "subject">;

/** The committed records of duties as one control machine knows them; they may be older than those at the head. */
export class DutyRecords {
  readonly #records = new Map<string, DutyRecord>();
  readonly #bodies = new Map<string, ActBody>();

  /** Applies committed changes of control records; ignores those of other kinds. */
  apply(changes: Iterable<Change>): void {
    for (const [key, value] of changes) {
      if (key.startsWith(keys.duty)) put(this.#records, key, value);
      else if (key.startsWith(keys.act)) put(this.#bodies, key, value);
    }
  }

  /** Replaces the copy by a full set of control records. */
  restore(records: Iterable<Change>): void {
    this.#records.clear();
    this.#bodies.clear();
    this.apply(records);
  }

  record(subject: DutySubject): DutyRecord | undefined {
    return this.#records.get(keys.dutyKey(subject));
  }

  /** Acts that are decided but not finished, with their content. */
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
  const path = key.slice(keys.duty.length);
  const cut = path.indexOf("/");
  return { duty: path.slice(0, cut) as DutyKind, subject: path.slice(cut + 1) };
}
