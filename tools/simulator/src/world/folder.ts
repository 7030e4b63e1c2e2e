import type {
  PersistedChain,
  ChainState,
  ChainWrite,
  Change,
  LogEntry,
  VoteState,
} from "@chutewick/parts";
import { Packr } from "msgpackr";

/** A data folder: what survives of a machine, that is only synced writes, in order. */
export class Folder {
  identity: string;
  votes: VoteState | undefined;
  #chains = new Map<
    string,
    { state: ChainState; records: Map<string, unknown>; entries: Map<number, LogEntry> }
  >();
  #packer = new Packr({ useRecords: false });

  constructor(identity: string) {
    this.identity = identity;
  }

  /** A copy as it would be read from disk. */
  copy<Value>(value: Value): Value {
    return this.#packer.unpack(this.#packer.pack(value)) as Value;
  }

  /** Applies a synced write of a chain. */
  write(chain: string, write: ChainWrite): void {
    const held = this.#chains.get(chain) ?? {
      state: write.state,
      records: new Map<string, unknown>(),
      entries: new Map<number, LogEntry>(),
    };
    if (write.clear) {
      held.records.clear();
      held.entries.clear();
    }
    for (const [key, value] of write.changes) {
      if (value === undefined || value === null) held.records.delete(key);
      else held.records.set(key, value);
    }
    for (const entry of write.entries) held.entries.set(entry.place, entry);
    for (const place of write.drop) held.entries.delete(place);
    held.state = write.state;
    this.#chains.set(chain, held);
  }

  /** What is held of each chain, entries by place. */
  holdings(): Map<string, PersistedChain> {
    const found = new Map<string, PersistedChain>();
    for (const [chain, { state, records, entries }] of this.#chains) {
      const sorted = [...entries.values()].sort(byPlace);
      found.set(chain, this.copy({ state, records: [...records] as Change[], entries: sorted }));
    }
    return found;
  }
}

function byPlace(left: LogEntry, right: LogEntry): number {
  return left.place - right.place;
}
