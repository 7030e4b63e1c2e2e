import {
  ControlCore,
  type ControlCommand,
  type ControlMessage,
  type ControlOutcome,
} from "@chutewick/control";
import { Membership, StorageCore, type DataMessage, type NodeIdentity } from "@chutewick/data";
import type { Policy, NodeReport } from "@chutewick/parts";
import type { Disk, DiskWrite } from "./disk.js";

/** The product's own cores, each as one process that takes events and returns outputs. */
export type Kind = "control" | "storage" | "access";

export type Output =
  | DiskWrite
  | { readonly kind: "send"; readonly to: string; readonly message: DataMessage }
  | { readonly kind: "result"; readonly ticket: string; readonly result: ControlOutcome }
  | { readonly kind: "note" };

/** What a process is started with. */
export interface Origin {
  readonly name: string;
  /** Differs with each start. */
  readonly life: string;
  readonly seeds: readonly string[];
  readonly policy: Policy;
  readonly founding: boolean;
  readonly disk: Disk;
}

export interface Process {
  start(now: number): readonly Output[];
  beat(now: number): readonly Output[];
  receive(message: DataMessage, from: string, now: number): readonly Output[];
  written(write: DiskWrite, now: number): readonly Output[];
  leave(now: number): readonly Output[];
}

/** A control machine. */
export class ControlProcess implements Process {
  readonly core: ControlCore;

  constructor({ name, life, seeds, policy, founding, disk }: Origin, now: number) {
    this.core = new ControlCore(
      {
        member: { identity: disk.identity, address: name },
        seeds,
        life,
        votes: disk.votes,
        holding: disk.holdings().get("control"),
        policy,
        founding,
      },
      now,
    );
  }

  start(now: number): readonly Output[] {
    return this.core.start(now);
  }
  beat(now: number): readonly Output[] {
    return this.core.tick(now, now);
  }
  receive(message: DataMessage, from: string, now: number): readonly Output[] {
    return this.core.receive(message as ControlMessage, from, now);
  }
  written(write: DiskWrite, now: number): readonly Output[] {
    return write.kind === "vote"
      ? this.core.voteWritten(write.ticket, now)
      : this.core.chainWritten(write.ticket, now);
  }
  leave(now: number): readonly Output[] {
    return this.core.leave(now);
  }
  inquire(ticket: string, command: ControlCommand, now: number): readonly Output[] {
    return this.core.inquire(ticket, command, now);
  }
}

/** What every node of the data plane shares: session, feed, lease. */
export interface NodeProcess extends Process {
  readonly membership: Membership;
}

/** The membership of an access node, which is what binds it to the control group. */
export class AccessProcess implements NodeProcess {
  readonly membership: Membership;

  constructor(origin: Origin, now: number) {
    const standing = standingOf(origin, "access");
    this.membership = new Membership(standing, origin.seeds, now, tellNothing, origin.policy);
  }

  start(): readonly Output[] {
    return [];
  }
  beat(now: number): readonly Output[] {
    return this.membership.tick(now);
  }
  receive(message: DataMessage, from: string, now: number): readonly Output[] {
    const isNews = this.membership.receive(message as ControlMessage, from, now);
    return isNews ? this.membership.sendHeartbeats(now) : [];
  }
  written(): readonly Output[] {
    return [];
  }
  leave(now: number): readonly Output[] {
    return this.membership.leave(now);
  }
}

/** A storage machine. */
export class StorageProcess implements NodeProcess {
  readonly core: StorageCore;

  constructor(origin: Origin, now: number) {
    const standing = standingOf(origin, "storage");
    const holdings = origin.disk.holdings();
    this.core = new StorageCore(standing, origin.seeds, holdings, now, origin.policy);
  }

  get membership(): Membership {
    return this.core.membership;
  }
  start(): readonly Output[] {
    return [];
  }
  beat(now: number): readonly Output[] {
    return this.core.tick(now);
  }
  receive(message: DataMessage, from: string, now: number): readonly Output[] {
    return this.core.receive(message, from, now);
  }
  written(write: DiskWrite, now: number): readonly Output[] {
    return write.kind === "write" ? this.core.written(write.chain, write.ticket, now) : [];
  }
  leave(now: number): readonly Output[] {
    return this.core.leave(now);
  }
}

function standingOf({ name, disk }: Origin, kind: "access" | "storage"): NodeIdentity {
  return { identity: disk.identity, address: name, kind, zone: "zone", name, http: name };
}

function tellNothing(): NodeReport {
  return {};
}
