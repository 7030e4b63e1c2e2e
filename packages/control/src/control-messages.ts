import type {
  EchoedStamp,
  ChainMessage,
  ChainView,
  ChainWrite,
  FeedMessage,
  NodeDescriptor,
  PeerMessage,
  RunnerDescriptor,
  RunnerRegistry,
  ClockStamp,
  ViewMessage,
  VoteState,
} from "@chutewick/parts";
import type { ControlCommand, ControlResult } from "./machine.js";

/** Messages that a control machine receives and sends (docs/design.md §2, §4, §7, §8). */
export type ControlMessage =
  | ChainMessage
  | ViewMessage
  | FeedMessage
  | PeerMessage
  | SessionMessage
  | LeaseMessage
  | RegistryMessage
  | RunnersMessage
  | ControlAddressesMessage
  | CoverageMessage
  | ForwardedCommandMessage
  | ForwardedResultMessage
  | UsageMessage
  | UsageTakenMessage;

const viewKinds: ReadonlySet<string> = new Set<ViewMessage["kind"]>([
  "greet",
  "prepare",
  "promise",
  "accept",
  "accepted",
  "overtaken",
]);

const chainKinds: ReadonlySet<string> = new Set<ChainMessage["kind"]>([
  "entries",
  "taken",
  "confirm",
  "probe",
  "probed",
  "want",
  "digest",
  "digest-got",
]);

/** Whether a message belongs to the agreement protocol for views. */
export function isViewMessage(message: ControlMessage): message is ViewMessage {
  return viewKinds.has(message.kind);
}

/** Whether a message belongs to the replication protocol of a chain. */
export function isChainMessage(message: ControlMessage): message is ChainMessage {
  return chainKinds.has(message.kind);
}

/** Heartbeat of a node, which requests a lease. */
export interface SessionMessage {
  readonly kind: "session";
  readonly card: NodeDescriptor;
  /** Time in ms at which the heartbeat was sent, by the node's monotonic clock. */
  readonly askedAt: number;
  /** Echo of the newest timestamp that the node received from this control machine. */
  readonly back?: EchoedStamp | null;
  /** Time in ms since the node last received the registry from any control machine. */
  readonly rolled?: number;
}

/** Answer to a node's heartbeat: a lease that counts from `askedAt`, or only the view. */
export interface LeaseMessage {
  readonly kind: "lease";
  /** Identity of the control machine that answers. */
  readonly identity: string;
  readonly view: ChainView;
  /** Time in ms from which the lease counts, by the node's monotonic clock; minus infinity if no lease is granted. */
  readonly askedAt: number;
  /** Time in ms at which the answered heartbeat was sent, by the node's monotonic clock; missing from earlier releases. */
  readonly answers?: number;
  /** Newest log index of the feed. */
  readonly place: number;
  /** Registry of runners. */
  readonly roll: RunnerRegistry;
  /** Addresses of the control machines. */
  readonly controls: readonly string[];
  readonly stamp?: ClockStamp;
  /** Unix time in ms by the wall clock of the control machine; missing from earlier releases (docs/design.md §14.1). */
  readonly wall?: number;
}

/** Heartbeat between control machines, with the registry as the sender knows it. */
export interface RegistryMessage {
  readonly kind: "roll";
  /** Registry of runners. */
  readonly roll: RunnerRegistry;
  /** Zone of the sender; missing from earlier releases. */
  readonly zone?: string;
  readonly stamp?: ClockStamp;
  /** Echo of the newest timestamp that the sender received from this peer. */
  readonly back?: EchoedStamp | null;
  /** Whether the sender can decide duty rounds; earlier releases cannot. */
  readonly decidesDuties?: boolean;
  /** Unix time in ms by the wall clock of the sender; missing from earlier releases (docs/design.md §14.1). */
  readonly wall?: number;
}

/** Reports of runners that are broadcast at once instead of with the registry (docs/design.md §13.8). */
export interface RunnersMessage {
  readonly kind: "runners";
  readonly runners: readonly RunnerDescriptor[];
}

/** Addresses of the control group, sent to a silent node (docs/design.md §13.8.4). */
export interface ControlAddressesMessage {
  readonly kind: "controls";
  readonly addresses: readonly string[];
}

/** Reports to the head the log index that all lease holders of a member have reached. */
export interface CoverageMessage {
  readonly kind: "covered";
  readonly identity: string;
  /** Epoch of the view to which the report applies. */
  readonly mark: number;
  readonly place: number;
}

/** A request that is forwarded to the head. */
export interface ForwardedCommandMessage {
  readonly kind: "control-inquiry";
  readonly ticket: string;
  readonly command: ControlCommand;
}

/** The head's answer to a forwarded request. */
export interface ForwardedResultMessage {
  readonly kind: "control-result";
  readonly ticket: string;
  readonly outcome: ControlOutcome;
}

/** Number of requests of a tenant. */
export type TenantCount = readonly [tenant: string, count: number];

/** Number of requests that were started in one window, by tenant. */
export interface WindowUsage {
  /** Number of the window: agreed time divided by the window length. */
  readonly window: number;
  readonly counts: readonly TenantCount[];
}

/** Usage counts of one access node incarnation. Counts are cumulative, so applying one twice is harmless (docs/design.md §14.2). */
export interface UsageMessage {
  readonly kind: "usage";
  /** Incarnation of the node that counted. */
  readonly life: string;
  /** Sequence number after which the included changes start. */
  readonly since: number;
  /** Sequence number of the last included change. */
  readonly upTo: number;
  readonly windows: readonly WindowUsage[];
}

/** Acknowledgement of usage counts by a control machine. */
export interface UsageTakenMessage {
  readonly kind: "usage-taken";
  /** Incarnation of the control machine; counts accepted by an earlier incarnation are lost. */
  readonly life: string;
  readonly since: number;
  readonly upTo: number;
}

/** Outcome of a request. */
export type ControlOutcome =
  | { readonly kind: "confirmed"; readonly value: ControlResult; readonly place: number }
  /** The request had no effect. */
  | {
      readonly kind: "not-run";
      readonly reason: string;
      /** Set if the head's disk refuses writes. */
      readonly isUnwritable?: boolean;
    }
  | { readonly kind: "unknown" };

/** Outputs of the core, to be carried out by its host. */
export type ControlOutput =
  | { readonly kind: "send"; readonly to: string; readonly message: ControlMessage }
  | {
      readonly kind: "write";
      readonly chain: string;
      readonly ticket: number;
      readonly write: ChainWrite;
    }
  | { readonly kind: "vote"; readonly ticket: number; readonly state: VoteState }
  | { readonly kind: "result"; readonly ticket: string; readonly result: ControlOutcome }
  | { readonly kind: "note"; readonly text: string; readonly facts: Record<string, unknown> };

/** Answer to a runner's report. */
export type ReportAnswer =
  | { readonly kind: "TAKEN" }
  | { readonly kind: "SAID_GOODBYE" }
  /** Broadcast to all reachable machines but not acknowledged, since no majority of the control group is reachable. */
  | { readonly kind: "NO_QUORUM" };
