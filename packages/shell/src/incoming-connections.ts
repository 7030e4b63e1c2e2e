/** Connections that other processes opened to this one (docs/design.md §10.3, §10.6). */
import type { Socket } from "node:net";
import { constants } from "@chutewick/parts";
import { encodeFrame, FrameError, FrameReader } from "./frames.js";
import type { Log } from "./log.js";
import {
  readCrossAcknowledgement,
  readHello,
  type Acknowledgement,
  type CrossAcknowledgement,
  type Hello,
} from "./wire-messages.js";

/** What all connections to a process have in common. */
export interface IncomingOptions {
  readonly log: Log;
  /** Version of the messages that this process speaks. */
  readonly mark: number;
  readonly receive: (message: unknown, from: string) => void;
  /** Called with what another process says to have received on a connection from here. */
  readonly acknowledged: (acknowledgement: CrossAcknowledgement, from: string) => void;
}

/** The connection that counts of a process that is known by its hello. */
interface Sender {
  readonly hello: Hello;
  readonly socket: Socket;
  /** Bytes that were acknowledged. */
  acknowledged: number;
  /** ms, monotonic. */
  acknowledgedAt: number;
  /** The last acknowledgement went with another connection and may be lost with it. */
  acknowledgedAcross: boolean;
}

/** Hands on what other processes send, from the newest connection of each alone. */
export class IncomingConnections {
  readonly #options: IncomingOptions;
  #sockets = new Set<Socket>();
  #senders = new Map<string, Sender>();
  /** Connections refused since the start. */
  refused = 0;

  constructor(options: IncomingOptions) {
    this.#options = options;
  }

  accept(socket: Socket): void {
    const self = this;
    this.#sockets.add(socket);
    const reader = new FrameReader();
    let hello: Hello | undefined;
    let isOver = false;
    function failed(): void {
      socket.destroy();
    }
    function closed(): void {
      self.#sockets.delete(socket);
      if (hello !== undefined && self.#senders.get(hello.from)?.socket === socket)
        self.#senders.delete(hello.from);
    }
    function arrived(chunk: Buffer): void {
      if (isOver) return;
      try {
        const messages = reader.read(chunk);
        if (hello !== undefined)
          self.#acknowledge(self.#senders.get(hello.from), performance.now());
        for (const message of messages) {
          /** Refused, or replaced by a newer connection of the same process: the rest is not handed on. */
          isOver = socket.destroyed || socket.writableEnded;
          if (isOver) return;
          if (hello === undefined) hello = self.#greeted(socket, message);
          else self.#hand(message, hello.from);
        }
      } catch (error) {
        if (!(error instanceof FrameError)) throw error;
        self.#options.log.error(
          { address: socket.remoteAddress, reason: error.message },
          "a frame that cannot be read: connection ended",
        );
        socket.destroy();
      }
    }
    socket.on("error", failed);
    socket.once("close", closed);
    socket.on("data", arrived);
  }

  close(): void {
    for (const socket of this.#sockets) socket.destroy();
  }

  /** To be called with each beat of the process: acknowledges what came last on each connection. */
  beat(now: number): void {
    for (const sender of this.#senders.values()) this.#acknowledge(sender, now);
  }

  /**
   * What is to be acknowledged to a process, to be sent among the messages that go there now; undefined where nothing is, or
   * where it would not understand it. Due sooner than on the connection itself, so that one with messages both ways needs none.
   */
  takeCrossAcknowledgement(to: string, now: number): CrossAcknowledgement | undefined {
    const sender = this.#senders.get(to);
    if (sender === undefined || now - sender.acknowledgedAt < constants.crossAcknowledgeEvery)
      return undefined;
    const { takesCrossAcknowledgements, life, connection } = sender.hello;
    if (takesCrossAcknowledgements !== true || life === undefined || connection === undefined)
      return undefined;
    const received = sender.socket.bytesRead;
    if (received === sender.acknowledged) return undefined;
    markAcknowledged(sender, received, now, true);
    return { received, life, connection };
  }

  #hand(message: unknown, from: string): void {
    const acknowledgement = readCrossAcknowledgement(message);
    if (acknowledgement === undefined) this.#options.receive(message, from);
    else this.#options.acknowledged(acknowledgement, from);
  }

  /** Tells the other side how much has come, where that is more than it knows and was told long enough ago. */
  #acknowledge(sender: Sender | undefined, now: number): void {
    if (sender === undefined || now - sender.acknowledgedAt < constants.acknowledgeEvery) return;
    const received = sender.socket.bytesRead;
    if (received === sender.acknowledged && !sender.acknowledgedAcross) return;
    markAcknowledged(sender, received, now, false);
    const acknowledgement: Acknowledgement = { received };
    sender.socket.write(encodeFrame(acknowledgement));
  }

  /** The hello, where the connection is taken. */
  #greeted(socket: Socket, message: unknown): Hello | undefined {
    const hello = readHello(message);
    if (hello === undefined || !this.#isKnown(hello.mark)) {
      this.#refuse(socket, message);
      return undefined;
    }
    if (hello.connection === undefined) return hello;
    const held = this.#senders.get(hello.from);
    if (held !== undefined && isOlder(hello, held.hello)) {
      socket.destroy();
      return undefined;
    }
    if (held !== undefined && held.hello.life !== hello.life)
      this.#options.log.warn(
        { from: hello.from, address: socket.remoteAddress },
        "another process says that it has this address; its connection replaces the one before",
      );
    /** Its sender has given it up, and the word of that may have been lost with the rest. */
    held?.socket.destroy();
    const sender: Sender = {
      hello,
      socket,
      acknowledged: 0,
      acknowledgedAt: Number.NEGATIVE_INFINITY,
      acknowledgedAcross: false,
    };
    this.#senders.set(hello.from, sender);
    this.#acknowledge(sender, performance.now());
    return hello;
  }

  #isKnown(mark: number): boolean {
    return mark <= this.#options.mark + 1 && mark >= constants.wireMarkOldest;
  }

  #refuse(socket: Socket, message: unknown): void {
    const mark = (message as Partial<Hello> | null)?.mark;
    const own = this.#options.mark;
    this.refused += 1;
    this.#options.log.error(
      { address: socket.remoteAddress, mark, own },
      "wire mark or product not known: connection refused",
    );
    const refused = `wire mark ${String(mark)} is not known here, which speaks ${own}`;
    socket.end(encodeFrame({ refused }));
  }
}

function markAcknowledged(sender: Sender, received: number, now: number, isAcross: boolean): void {
  sender.acknowledged = received;
  sender.acknowledgedAt = now;
  sender.acknowledgedAcross = isAcross;
}

/** Whether a connection was opened before another one of the same life. */
function isOlder(hello: Hello, held: Hello): boolean {
  return hello.life === held.life && (hello.connection ?? 0) < (held.connection ?? 0);
}
