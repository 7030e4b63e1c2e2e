import {
  constants,
  rendezvous,
  emptyRegistry,
  maxTransitMs,
  type ChainView,
  type Feed,
  type FeedMessage,
  type Member,
  type NodeDescriptor,
  type Sessions,
} from "@chutewick/parts";
import type { LeaseMessage, SessionMessage } from "./control-messages.js";
import type { ControlZones } from "./control-zones.js";
import { LaggingNodes } from "./lagging-nodes.js";

/** State of a control machine that is needed to answer heartbeats. */
export interface HeartbeatContext {
  /** Identity of this control machine. */
  readonly self: string;
  /** Incarnation of this process. */
  readonly life: string;
  readonly view: ChainView | undefined;
  /** Whether this machine is a member of the view; only members grant leases and send feed updates. */
  readonly isMember: boolean;
  /** Whether the feed of this machine has advanced far enough to grant leases. */
  readonly mayGrant: boolean;
  /** Addresses of the control machines. */
  readonly controls: readonly string[];
  readonly zones: ControlZones;
  readonly feed: Feed;
  readonly sessions: Sessions;
  /** Wall-clock time of this machine in ms. */
  readonly wall: number;
  /** Monotonic time in ms. */
  readonly now: number;
}

/** Messages that answer a heartbeat. */
export interface HeartbeatAnswer {
  readonly messages: readonly (FeedMessage | LeaseMessage)[];
  readonly isLeaseGranted: boolean;
}

const unanswered: HeartbeatAnswer = { messages: [], isLeaseGranted: false };

/** Answers heartbeats of nodes: each renews the session, and the lease if the node keeps up with the feed (docs/design.md §4, §7). */
export class NodeHeartbeats {
  readonly #laggingNodes = new LaggingNodes();

  /** Updates the session of the node and returns the answer. */
  answer(message: SessionMessage, context: HeartbeatContext): HeartbeatAnswer {
    const { view, isMember, mayGrant, feed, now } = context;
    const { card } = message;
    if (view === undefined || !isMember) return withoutLease(message, context, []);
    if (!mayGrant || !card.free || this.#laggingNodes.isLagging(card, feed.place, now))
      return withoutLease(message, context, feedUpdateFor(card, feed));
    return withLease(message, context, view);
  }

  /** Discards the state of nodes that are gone. */
  forget(now: number): void {
    this.#laggingNodes.forget(now);
  }
}

/** Answers without a lease: the node gets the view, the control addresses and feed updates only. */
function withoutLease(
  { card, askedAt, back }: SessionMessage,
  context: HeartbeatContext,
  updates: readonly FeedMessage[],
): HeartbeatAnswer {
  const { sessions, life, view, now } = context;
  const isNewest = sessions.recordHeartbeat(
    card,
    now,
    undefined,
    0,
    maxTransitMs(back, life, now),
    askedAt,
  );
  if (view === undefined || !isNewest) return unanswered;
  const neverAsked = Number.NEGATIVE_INFINITY;
  const terms = { view, askedAt: neverAsked, answers: askedAt, place: 0, roll: emptyRegistry };
  return { messages: [...updates, leaseMessage(terms, context)], isLeaseGranted: false };
}

function withLease(
  { card, askedAt, back, rolled }: SessionMessage,
  context: HeartbeatContext,
  view: ChainView,
): HeartbeatAnswer {
  const { sessions, feed, life, now } = context;
  const leaseUntil = now + constants.leaseDurationMs;
  // Grant no lease without a session: changes would not wait for the node.
  if (!sessions.recordHeartbeat(card, now, leaseUntil, 0, maxTransitMs(back, life, now), askedAt))
    return unanswered;
  const roll = sendsRegistry(card, rolled, view, context)
    ? sessions.registryForNodes(now, card.identity)
    : emptyRegistry;
  const terms = { view, askedAt, answers: askedAt, place: feed.place, roll };
  const lease = leaseMessage(terms, context);
  return { messages: [...feedUpdateFor(card, feed), lease], isLeaseGranted: true };
}

function leaseMessage(
  terms: Pick<LeaseMessage, "view" | "askedAt" | "answers" | "place" | "roll">,
  { self, life, controls, wall, now }: HeartbeatContext,
): LeaseMessage {
  return { kind: "lease", identity: self, ...terms, controls, stamp: { life, at: now }, wall };
}

/** Feed updates that a node has not received yet. */
export function feedUpdateFor(card: NodeDescriptor, feed: Feed): FeedMessage[] {
  const message = feed.messageAfter(card.place);
  return message === undefined ? [] : [message];
}

/**
 * Whether this machine sends the registry to a node. One member is chosen for each node; the others send it only if the node has not
 * received it recently (docs/design.md §4.3, §13.8.7).
 */
function sendsRegistry(
  card: NodeDescriptor,
  rolled: number | undefined,
  { members }: ChainView,
  { self, zones }: HeartbeatContext,
): boolean {
  if (rolled === undefined || rolled >= constants.heartbeatIntervalMs * 2) return true;
  return registrySender(card, members, zones).identity === self;
}

/** Member that sends the registry to a node: one in the node's zone if possible, since the registry dominates control traffic. */
function registrySender(
  { identity, zone }: NodeDescriptor,
  members: readonly Member[],
  zones: ControlZones,
): Member {
  const inZone = members.filter(({ address }) => zones.at(address) === zone);
  const senders = inZone.length > 0 ? inZone : members;
  return senders[rendezvous.hash(identity) % senders.length]!;
}
