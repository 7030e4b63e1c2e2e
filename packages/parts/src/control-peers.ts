/** Control machines as this one hears them: who is there, at which address, and who hears whom (docs/design.md §2.3). */
import type { ChainView, Member } from "./chain.js";
import { constants } from "./constants.js";
import type { Greeting } from "./view-messages.js";

/** What the newest greeting of a control machine told. */
export interface ControlPeer {
  readonly member: Member;
  readonly heardAt: number;
  readonly view: ChainView | undefined;
  readonly founding: readonly Member[] | undefined;
  readonly copiedMark: number;
  /** About to stop as planned: the view goes on without it at once (§8.6). */
  readonly leaving: boolean;
  /** Whom it hears itself; an earlier release, or one that woke up just now, does not say. */
  readonly hears: readonly string[] | undefined;
}

/** Silences, in `memberSilence`, after which a peer is forgotten. */
const SILENCES_KEPT = 8;
/** Greetings in a row that one who joins may miss. */
const GREETINGS_MISSED_BY_JOINER = 3;

/** The table of peers of one control machine. */
export class ControlPeers {
  #self: Member;
  #peers = new Map<string, ControlPeer>();
  /** Since when another identity stands at the address of this one. */
  #retired = new Map<string, number>();

  constructor(self: Member) {
    this.#self = self;
  }

  get(identity: string): ControlPeer | undefined {
    return this.#peers.get(identity);
  }

  all(): Iterable<ControlPeer> {
    return this.#peers.values();
  }

  /** Takes a greeting; false where it is this machine's own, or of a life that is over. */
  greeted(message: Greeting, now: number): boolean {
    const { member } = message;
    const { identity } = member;
    if (identity === this.#self.identity) return false;
    /** Of two at one address the one that goes on greeting lives; a greeting of the other may have lain here unread. */
    const retiredAt = this.#retired.get(identity) ?? Number.NEGATIVE_INFINITY;
    if (now - retiredAt <= constants.memberSilence) return false;
    this.#retired.delete(identity);
    this.#retireOthersAt(member, now);
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

  #retireOthersAt({ identity, address }: Member, now: number): void {
    for (const [other, { member }] of this.#peers) {
      if (other === identity || member.address !== address) continue;
      this.#retired.set(other, now);
      this.#peers.delete(other);
    }
  }

  /** Forgets peers that have been silent for long. */
  forget(now: number): void {
    for (const [identity, { heardAt }] of this.#peers)
      if (now - heardAt > constants.memberSilence * SILENCES_KEPT) this.#peers.delete(identity);
  }

  /** One that does not hear a machine counts as silent to it, or a way cut in one direction would hold the chain up for ever (§2.3). */
  heardWithin(identity: string, within: number, now: number): boolean {
    if (identity === this.#self.identity) return true;
    const peer = this.#peers.get(identity);
    if (peer === undefined || now - peer.heardAt > within) return false;
    return peer.hears === undefined || peer.hears.includes(this.#self.identity);
  }

  /** Those of some members that are heard. */
  alive(members: readonly Member[], now: number): Member[] {
    const found: Member[] = [];
    for (const member of members)
      if (this.heardWithin(member.identity, constants.memberSilence, now)) found.push(member);
    return found;
  }

  /** Who stands at an address now. */
  at(address: string, now: number): ControlPeer | undefined {
    for (const peer of this.#peers.values()) {
      const { identity } = peer.member;
      if (peer.member.address !== address || this.#retired.has(identity)) continue;
      if (now - peer.heardAt <= constants.memberSilence) return peer;
    }
    return undefined;
  }

  /** Identities heard lately, as told in this machine's own greetings. */
  heardLately(now: number): string[] {
    const found: string[] = [];
    for (const [identity, { heardAt }] of this.#peers)
      if (now - heardAt <= constants.memberSilence) found.push(identity);
    return found;
  }

  /** Peers that could be taken into the view. */
  joinable(now: number): ControlPeer[] {
    const longest = constants.greetEvery * GREETINGS_MISSED_BY_JOINER;
    const found: ControlPeer[] = [];
    for (const peer of this.#peers.values()) {
      const isHeard = now - peer.heardAt < longest;
      if (isHeard && !peer.leaving && !this.#retired.has(peer.member.identity)) found.push(peer);
    }
    return found;
  }

  /** One that some member does not hear would be voted out again as soon as it is in. */
  isHeardByAll(identity: string, { members }: ChainView, now: number): boolean {
    for (const member of this.alive(members, now))
      if (this.#peers.get(member.identity)?.hears?.includes(identity) === false) return false;
    return true;
  }
}
