import type { Socket } from "node:net";

/** ms. The first retransmission of unacknowledged bytes; each later one waits twice as long. */
const firstRetransmission = 200;
/** bytes. What a sender's kernel keeps unacknowledged before its process must wait. */
const sendBuffer = 262_144;

/**
 * One direction of one TCP connection over a link that can be cut.
 *
 * What is sent during a cut is held, not lost, and so is all that follows: it arrives at the first retransmission after
 * the cut has ended. If the sender closes the connection meanwhile, what is held is lost, and the receiver hears of
 * the end at that retransmission.
 */
export class LinkChannel {
  #from: Socket;
  #to: Socket;
  #isCut: () => boolean;
  #held: Buffer[] = [];
  #heldBytes = 0;
  #retransmission: NodeJS.Timeout | undefined;
  #isClosed = false;

  constructor(from: Socket, to: Socket, isCut: () => boolean) {
    this.#from = from;
    this.#to = to;
    this.#isCut = isCut;
    from.on("data", (chunk: Buffer) => this.#arrived(chunk));
    from.on("error", () => from.destroy());
    from.once("close", () => this.#closed());
  }

  get #isStalled(): boolean {
    return this.#retransmission !== undefined;
  }

  /** Forgets what is held; no timer is left. */
  stop(): void {
    clearTimeout(this.#retransmission);
    this.#from.destroy();
    this.#to.destroy();
  }

  #arrived(chunk: Buffer): void {
    if (this.#isClosed) return;
    if (!this.#isStalled && !this.#isCut()) {
      this.#to.write(chunk);
      return;
    }
    this.#held.push(chunk);
    this.#heldBytes += chunk.length;
    if (this.#heldBytes > sendBuffer) this.#from.pause();
    if (!this.#isStalled) this.#retransmitAfter(firstRetransmission);
  }

  #closed(): void {
    this.#isClosed = true;
    if (!this.#isStalled && !this.#isCut()) {
      this.#to.destroySoon();
      return;
    }
    this.#held = [];
    if (!this.#isStalled) this.#retransmitAfter(firstRetransmission);
  }

  #retransmitAfter(span: number): void {
    const self = this;
    function retransmit(): void {
      if (self.#isCut()) self.#retransmitAfter(2 * span);
      else self.#deliver();
    }
    this.#retransmission = setTimeout(retransmit, span);
  }

  #deliver(): void {
    this.#retransmission = undefined;
    for (const chunk of this.#held) this.#to.write(chunk);
    this.#held = [];
    this.#heldBytes = 0;
    if (this.#isClosed) this.#to.destroySoon();
    else this.#from.resume();
  }
}
