/** Connections that other processes opened to this one (docs/design.md §10.3, §10.6). */
import type { Socket } from "node:net";
import { constants } from "@chutewick/parts";
import { encodeFrame, FrameError, FrameReader } from "./frames.js";
import type { Log } from "./log.js";
import { isHeartbeat, readHello, type Hello } from "./wire-messages.js";

/** What all connections to a process have in common. */
export interface IncomingOptions {
  readonly log: Log;
  /** Version of the messages that this process speaks. */
  readonly mark: number;
  readonly receive: (message: unknown, from: string) => void;
}

/** The connection that counts of a process that is known by its hello. */
interface Sender {
  readonly hello: Hello;
  readonly socket: Socket;
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
    function failed(): void {
      socket.destroy();
    }
    function closed(): void {
      self.#sockets.delete(socket);
      if (hello !== undefined && self.#senders.get(hello.from)?.socket === socket)
        self.#senders.delete(hello.from);
    }
    function arrived(chunk: Buffer): void {
      try {
        for (const message of reader.read(chunk)) {
          /** Refused, or replaced by a newer connection of the same process: the rest is not handed on. */
          if (socket.destroyed || socket.writableEnded) return;
          if (hello === undefined) hello = self.#greeted(socket, message);
          else self.#received(socket, message, hello.from);
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

  #received(socket: Socket, message: unknown, from: string): void {
    if (isHeartbeat(message)) socket.write(encodeFrame({ heartbeatAnswer: message.heartbeat }));
    else this.#options.receive(message, from);
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
    /** Its sender has given it up, and the word of that may have been lost with the rest. */
    held?.socket.destroy();
    this.#senders.set(hello.from, { hello, socket });
    socket.write(encodeFrame({ heartbeatAnswer: 0 }));
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

/** Whether a connection was opened before another one of the same life. */
function isOlder(hello: Hello, held: Hello): boolean {
  return hello.life === held.life && (hello.connection ?? 0) < (held.connection ?? 0);
}
