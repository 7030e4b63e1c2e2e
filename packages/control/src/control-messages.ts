import type {
  Back,
  ChainMessage,
  ChainView,
  ChainWrite,
  FeedMessage,
  NodeCard,
  PeerMessage,
  RunnerCard,
  RunnerRegistry,
  Stamp,
  ViewMessage,
  VoteState,
} from "@chutewick/parts";
import type { ControlCommand, ControlResult } from "./machine.js";

/** Messages that a control machine takes in and sends, and its other outputs (docs/design.md §2, §4, §7, §8). */
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

/** Whether a message belongs to the agreement on views. */
export function isViewMessage(message: ControlMessage): message is ViewMessage {
  return viewKinds.has(message.kind);
}

/** Whether a message belongs to a chain. */
export function isChainMessage(message: ControlMessage): message is ChainMessage {
  return chainKinds.has(message.kind);
}

/** Heartbeat of a node, which asks for a lease. */
export interface SessionMessage {
  readonly kind: "session";
  readonly card: NodeCard;
  /** ms, by the clock of the node. When the heartbeat was sent. */
  readonly askedAt: number;
  readonly back?: Back | null;
  /** ms since the node last got the registry from some control machine. */
  readonly rolled?: number;
}

/** Answer to a heartbeat: a lease that counts from `askedAt`, or the view only. */
export interface LeaseMessage {
  readonly kind: "lease";
  /** Of the control machine that grants it. */
  readonly identity: string;
  readonly view: ChainView;
  /** ms, by the clock of the node; minus infinity where no lease is granted. */
  readonly askedAt: number;
  /** Newest place of the feed. */
  readonly place: number;
  readonly roll: RunnerRegistry;
  /** Addresses of the control machines. */
  readonly controls: readonly string[];
  readonly stamp?: Stamp;
  /** ms since the start of 1970, by the wall clock of this control machine; an earlier release tells none (§14.1). */
  readonly wall?: number;
}

/** Heartbeat between control machines, with the registry as the sender knows it. */
export interface RegistryMessage {
  readonly kind: "roll";
  readonly roll: RunnerRegistry;
  /** Of the sender; an earlier release tells none. */
  readonly zone?: string;
  readonly stamp?: Stamp;
  readonly back?: Back | null;
  /** Whether the sender decides rounds of duties; earlier releases do not. */
  readonly decidesDuties?: boolean;
  /** ms since the start of 1970, by the wall clock of the sender; an earlier release tells none (§14.1). */
  readonly wall?: number;
}

/** Runners heard of just now, told at once (§13.8). */
export interface RunnersMessage {
  readonly kind: "runners";
  readonly runners: readonly RunnerCard[];
}

/** Where the control group stands, told to a node that is not heard (§13.8.4). */
export interface ControlAddressesMessage {
  readonly kind: "controls";
  readonly addresses: readonly string[];
}

/** Tells the head the place that all lease holders of a member have. */
export interface CoverageMessage {
  readonly kind: "covered";
  readonly identity: string;
  /** Of the view in which it holds. */
  readonly mark: number;
  readonly place: number;
}

/** A request on its way to the head. */
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

/** Requests of a tenant. */
export type TenantCount = readonly [tenant: string, count: number];

/** Requests that began to run in one window, by tenant. */
export interface WindowUsage {
  /** True time divided by the length of windows. */
  readonly window: number;
  readonly counts: readonly TenantCount[];
}

/** Counts of one life of an access node; each stands for all up to now, so taking one twice does no harm (§14.2). */
export interface UsageMessage {
  readonly kind: "usage";
  /** The life of the node that counted. */
  readonly life: string;
  /** Holds each count that changed after this change of that life, up to and with the other one. */
  readonly since: number;
  readonly upTo: number;
  readonly windows: readonly WindowUsage[];
}

/** A control machine acknowledges counts. */
export interface UsageTakenMessage {
  readonly kind: "usage-taken";
  /** Of the control machine: what an earlier one took is gone. */
  readonly life: string;
  readonly since: number;
  readonly upTo: number;
}

/** What became of a request. */
export type ControlOutcome =
  | { readonly kind: "confirmed"; readonly value: ControlResult; readonly place: number }
  /** Surely without effect. */
  | {
      readonly kind: "not-run";
      readonly reason: string;
      /** Set where the head's disk takes no writes. */
      readonly isUnwritable?: boolean;
    }
  | { readonly kind: "unknown" };

/** What the core asks of its surroundings. */
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

/** What a runner is told that reported here. */
export type Announced =
  | { readonly kind: "TAKEN" }
  | { readonly kind: "SAID_GOODBYE" }
  /** Passed on to whoever is reached, and not acknowledged: no majority of control is. */
  | { readonly kind: "NO_QUORUM" };
