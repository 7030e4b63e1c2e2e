/** Control machines as one of them observes them: identity, address, and who receives whose heartbeats (docs/design.md §2.3). */
import type { ChainView, Member } from "./chain.js";
import { constants } from "./constants.js";
import type { ControlHeartbeat } from "./view-messages.js";

/** State of a control machine by its newest heartbeat. */
export interface ControlPeer {
  readonly member: Member;
  readonly heardAt: number;
  readonly view: ChainView | undefined;
  readonly founding: readonly Member[] | undefined;
  /** Epoch of the newest view whose entries the machine has copied completely. */
  readonly copiedMark: number;
  /** Set during a planned stop: the view changes to exclude the machine at once (docs/design.md §8.6). */
  readonly leaving: boolean;
  /** Identities whose heartbeats it receives; undefined from an earlier release, or from a machine that has just resumed. */
  readonly hears: readonly string[] | undefined;
}

/** A peer is removed after this many times the silence that ends its membership. */
const RETENTION_SILENCES = 8;
/** Heartbeats in a row that a machine may miss and still be a candidate to join. */
const MAX_MISSED_HEARTBEATS_OF_CANDIDATE = 3;

/** The peers of one control machine. */
export class ControlPeers {
  #self: Member;
  #peers = new Map<string, ControlPeer>();
  /** When each identity was replaced by another one at its address. */
  #replacedAt = new Map<string, number>();

  constructor(self: Member) {
    this.#self = self;
  }

  get(identity: string): ControlPeer | undefined {
    return this.#peers.get(identity);
  }

  all(): Iterable<ControlPeer> {
    return this.#peers.values();
  }

  /** Records a heartbeat; returns false where it is this machine's own, or of an identity that was replaced at its address. */
  recordHeartbeat(message: ControlHeartbeat, now: number): boolean {
    const { member } = message;
    const { identity } = member;
    if (identity === this.#self.identity) return false;
    // Of two identities at one address the one that keeps sending heartbeats is alive; a heartbeat of the other may have
    // been buffered here.
    const replacedAt = this.#replacedAt.get(identity) ?? Number.NEGATIVE_INFINITY;
    if (now - replacedAt <= constants.memberSilenceTimeoutMs) return false;
    this.#replacedAt.delete(identity);
    this.#replaceOthersAt(member, now);
    this.#peers.set(identity, {
      member,
      heardAt: now,
      view: message.view,
      founding: message.founding,
      copiedMark: message.copiedMark,
      leaving: message.leaving === true,
      hears: message.hears,
    });
    return true;
  }

  #replaceOthersAt({ identity, address }: Member, now: number): void {
    for (const [other, { member }] of this.#peers) {
      if (other === identity || member.address !== address) continue;
      this.#replacedAt.set(other, now);
      this.#peers.delete(other);
    }
  }

  /** Removes peers that have been silent for long. */
  removeExpired(now: number): void {
    for (const [identity, { heardAt }] of this.#peers)
      if (now - heardAt > constants.memberSilenceTimeoutMs * RETENTION_SILENCES)
        this.#peers.delete(identity);
  }

  /** Whether heartbeats pass in both directions. A peer that does not receive those of this machine counts as silent, or a one-way partition would block the chain forever (docs/design.md §2.3). */
  isInContactWithin(identity: string, within: number, now: number): boolean {
    if (identity === this.#self.identity) return true;
    const peer = this.#peers.get(identity);
    if (peer === undefined || now - peer.heardAt > within) return false;
    return peer.hears === undefined || peer.hears.includes(this.#self.identity);
  }

  /** Those of the members that are in contact. */
  membersInContact(members: readonly Member[], now: number): Member[] {
    const found: Member[] = [];
    for (const member of members)
      if (this.isInContactWithin(member.identity, constants.memberSilenceTimeoutMs, now))
        found.push(member);
    return found;
  }

  /** The peer that currently uses an address. */
  peerAt(address: string, now: number): ControlPeer | undefined {
    for (const peer of this.#peers.values()) {
      const { identity } = peer.member;
      if (peer.member.address !== address || this.#replacedAt.has(identity)) continue;
      if (now - peer.heardAt <= constants.memberSilenceTimeoutMs) return peer;
    }
    return undefined;
  }

  /** Identities with a recent heartbeat, as reported in this machine's own heartbeats. */
  identitiesInContact(now: number): string[] {
    const found: string[] = [];
    for (const [identity, { heardAt }] of this.#peers)
      if (now - heardAt <= constants.memberSilenceTimeoutMs) found.push(identity);
    return found;
  }

  /** Peers that could join the view. */
  joinCandidates(now: number): ControlPeer[] {
    const maxSilence = constants.controlHeartbeatIntervalMs * MAX_MISSED_HEARTBEATS_OF_CANDIDATE;
    const found: ControlPeer[] = [];
    for (const peer of this.#peers.values()) {
      const isInContact = now - peer.heardAt < maxSilence;
      if (isInContact && !peer.leaving && !this.#replacedAt.has(peer.member.identity))
        found.push(peer);
    }
    return found;
  }

  /** Whether every live member receives heartbeats of an identity; otherwise it would be voted out as soon as it joined. */
  isInContactWithAll(identity: string, { members }: ChainView, now: number): boolean {
    for (const member of this.membersInContact(members, now))
      if (this.#peers.get(member.identity)?.hears?.includes(identity) === false) return false;
    return true;
  }
}
