import type {
  PersistedChain,
  ChainState,
  ChainWrite,
  Change,
  LogEntry,
  VoteState,
} from "@chutewick/parts";

/** A data folder: what was synced, and the transactions that are not synced yet, in their order. */
export type DiskWrite =
  | {
      readonly kind: "write";
      readonly chain: string;
      readonly ticket: number;
      readonly write: ChainWrite;
    }
  | { readonly kind: "vote"; readonly ticket: number; readonly state: VoteState };

interface StoredChain {
  state: ChainState;
  readonly records: Map<string, unknown>;
  readonly entries: Map<number, LogEntry>;
}

export class Disk {
  readonly identity: string;
  votes: VoteState | undefined;
  /** Transactions that are not synced; the folder is one file, so a crash keeps the first of them, any number. */
  unsynced: DiskWrite[] = [];
  readonly chains = new Map<string, StoredChain>();

  constructor(identity: string) {
    this.identity = identity;
  }

  /** The oldest transaction is synced from now on. */
  sync(): DiskWrite {
    const write = this.unsynced.shift()!;
    if (write.kind === "vote") this.votes = write.state;
    else this.apply(write.chain, write.write);
    return write;
  }

  /** A crash: the first transactions survive, the others are lost. */
  crash(kept: number): void {
    for (let count = 0; count < kept && this.unsynced.length > 0; count += 1) this.sync();
    this.unsynced = [];
  }

  apply(chain: string, write: ChainWrite): void {
    const stored = this.chains.get(chain) ?? {
      state: write.state,
      records: new Map<string, unknown>(),
      entries: new Map<number, LogEntry>(),
    };
    if (write.clear) {
      stored.records.clear();
      stored.entries.clear();
    }
    for (const [key, value] of write.changes) {
      if (value === undefined || value === null) stored.records.delete(key);
      else stored.records.set(key, value);
    }
    for (const entry of write.entries) stored.entries.set(entry.place, entry);
    for (const place of write.drop) stored.entries.delete(place);
    stored.state = write.state;
    this.chains.set(chain, stored);
  }

  /** A record of a chain as synced here. */
  record(chain: string, key: string): unknown {
    return this.chains.get(chain)?.records.get(key);
  }

  /** How far a chain is synced here; 0 for nothing. */
  place(chain: string): number {
    return this.chains.get(chain)?.state.place ?? 0;
  }

  /** All chains as a process finds them at its start. */
  holdings(): Map<string, PersistedChain> {
    const holdings = new Map<string, PersistedChain>();
    for (const [chain, { state, records, entries }] of this.chains)
      holdings.set(chain, {
        state,
        records: [...records] as Change[],
        entries: [...entries.values()].sort(byPlace),
      });
    return holdings;
  }
}

function byPlace(left: LogEntry, right: LogEntry): number {
  return left.place - right.place;
}
