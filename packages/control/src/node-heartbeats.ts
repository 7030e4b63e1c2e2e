import {
  constants,
  duty,
  emptyRegistry,
  lateness,
  type ChainView,
  type Feed,
  type FeedMessage,
  type Member,
  type NodeCard,
  type Sessions,
} from "@chutewick/parts";
import type { LeaseMessage, SessionMessage } from "./control-messages.js";
import type { ControlZones } from "./control-zones.js";
import { LaggingNodes } from "./lagging-nodes.js";

/** What a control machine answers heartbeats by. */
export interface HeartbeatContext {
  /** Identity of this control machine. */
  readonly self: string;
  /** Of this process. */
  readonly life: string;
  readonly view: ChainView | undefined;
  /** Whether this machine is a member of the view: others grant no leases. */
  readonly isMember: boolean;
  /** Addresses of the control machines. */
  readonly controls: readonly string[];
  readonly zones: ControlZones;
  readonly feed: Feed;
  readonly sessions: Sessions;
  /** ms, by the wall clock of this machine. */
  readonly wall: number;
  readonly now: number;
}

/** Answer to a heartbeat. */
export interface HeartbeatAnswer {
  readonly messages: readonly (FeedMessage | LeaseMessage)[];
  readonly isLeaseGranted: boolean;
}

/** Heartbeats of nodes: each renews the session, and the lease of a node that keeps up (docs/design.md §4, §7). */
export class NodeHeartbeats {
  readonly #laggingNodes = new LaggingNodes();

  /** Takes a heartbeat into the sessions. */
  answer(message: SessionMessage, context: HeartbeatContext): HeartbeatAnswer {
    const { view, isMember, feed, now } = context;
    const { card } = message;
    if (view === undefined || !isMember) return withoutLease(message, context, []);
    if (!card.free || this.#laggingNodes.isLagging(card, feed.place, now))
      return withoutLease(message, context, newsFor(card, feed));
    return withLease(message, context, view);
  }

  /** Forgets nodes that are gone. */
  forget(now: number): void {
    this.#laggingNodes.forget(now);
  }
}

/** The node learns the view and the control machines only. */
function withoutLease(
  { card, askedAt, back }: SessionMessage,
  context: HeartbeatContext,
  news: readonly FeedMessage[],
): HeartbeatAnswer {
  const { sessions, life, view, now } = context;
  sessions.heard(card, now, undefined, 0, lateness(back, life, now), askedAt);
  if (view === undefined) return { messages: [], isLeaseGranted: false };
  const terms = { view, askedAt: Number.NEGATIVE_INFINITY, place: 0, roll: emptyRegistry };
  return { messages: [...news, leaseMessage(terms, context)], isLeaseGranted: false };
}

function withLease(
  { card, askedAt, back, rolled }: SessionMessage,
  context: HeartbeatContext,
  view: ChainView,
): HeartbeatAnswer {
  const { sessions, feed, life, now } = context;
  const leaseUntil = now + constants.leaseLasts;
  sessions.heard(card, now, leaseUntil, 0, lateness(back, life, now), askedAt);
  const roll = sendsRegistry(card, rolled, view, context)
    ? sessions.registryForNodes(now, card.identity)
    : emptyRegistry;
  const lease = leaseMessage({ view, askedAt, place: feed.place, roll }, context);
  return { messages: [...newsFor(card, feed), lease], isLeaseGranted: true };
}

function leaseMessage(
  terms: Pick<LeaseMessage, "view" | "askedAt" | "place" | "roll">,
  { self, life, controls, wall, now }: HeartbeatContext,
): LeaseMessage {
  return { kind: "lease", identity: self, ...terms, controls, stamp: { life, at: now }, wall };
}

/** What a node still misses of the feed. */
export function newsFor(card: NodeCard, feed: Feed): FeedMessage[] {
  const message = feed.since(card.place);
  return message === undefined ? [] : [message];
}

/** One member sends a node the registry; the others only where it got none lately (§4.3, §13.8.7). */
function sendsRegistry(
  card: NodeCard,
  rolled: number | undefined,
  { members }: ChainView,
  { self, zones }: HeartbeatContext,
): boolean {
  if (rolled === undefined || rolled >= constants.sessionEvery * 2) return true;
  return registrySender(card, members, zones).identity === self;
}

/** A member of the node's own zone, where there is one: the registry is most of what control sends. */
function registrySender(
  { identity, zone }: NodeCard,
  members: readonly Member[],
  zones: ControlZones,
): Member {
  const near = members.filter(({ address }) => zones.at(address) === zone);
  const senders = near.length > 0 ? near : members;
  return senders[duty.spread(identity) % senders.length]!;
}
