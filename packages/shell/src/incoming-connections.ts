/** Connections that other processes have opened to this one (docs/design.md §10.3, §10.6). */
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

/** Options shared by all connections to a process. */
export interface IncomingOptions {
  readonly log: Log;
  /** Protocol version that this process uses. */
  readonly mark: number;
  /** Called with each message and the address of its sender. */
  readonly receive: (message: unknown, from: string) => void;
  /** Called when another process acknowledges bytes of a connection that this process opened. */
  readonly acknowledged: (acknowledgement: CrossAcknowledgement, from: string) => void;
}

/** The current connection of another process, known by its hello. */
interface PeerConnection {
  readonly hello: Hello;
  readonly socket: Socket;
  /** Bytes acknowledged so far. */
  acknowledged: number;
  /** Monotonic time of the last acknowledgement, in ms. */
  acknowledgedAt: number;
  /** Whether the last acknowledgement was sent on the connection in the other direction, with which it may be lost. */
  isCrossAcknowledgementLast: boolean;
}

/** Passes on the messages of other processes, from the newest connection of each only. */
export class IncomingConnections {
  readonly #options: IncomingOptions;
  #sockets = new Set<Socket>();
  #peers = new Map<string, PeerConnection>();
  /** Connections refused since the start. */
  refused = 0;

  constructor(options: IncomingOptions) {
    this.#options = options;
  }

  /** Handles a new connection; its first frame must be a hello. */
  accept(socket: Socket): void {
    const self = this;
    this.#sockets.add(socket);
    const reader = new FrameReader();
    let hello: Hello | undefined;
    let isFinished = false;
    function failed(): void {
      socket.destroy();
    }
    function closed(): void {
      self.#sockets.delete(socket);
      if (hello !== undefined && self.#peers.get(hello.from)?.socket === socket)
        self.#peers.delete(hello.from);
    }
    function receive(chunk: Buffer): void {
      if (isFinished) return;
      try {
        const messages = reader.read(chunk);
        if (hello !== undefined) self.#acknowledge(self.#peers.get(hello.from), performance.now());
        for (const message of messages) {
          // Refused, or replaced by a newer connection of the same process: the remaining messages are not passed on.
          isFinished = socket.destroyed || socket.writableEnded;
          if (isFinished) return;
          if (hello === undefined) hello = self.#handleHello(socket, message);
          else self.#dispatch(message, hello.from);
        }
      } catch (error) {
        if (!(error instanceof FrameError)) throw error;
        self.#options.log.error(
          { address: socket.remoteAddress, reason: error.message },
          "received an invalid frame; closing the connection",
        );
        socket.destroy();
      }
    }
    socket.on("error", failed);
    socket.once("close", closed);
    socket.on("data", receive);
  }

  /** Closes all connections. */
  close(): void {
    for (const socket of this.#sockets) socket.destroy();
  }

  /** Must be called at each tick of the process; acknowledges the bytes received on each connection. */
  tick(now: number): void {
    for (const peer of this.#peers.values()) this.#acknowledge(peer, now);
  }

  /**
   * Returns the acknowledgement to send to a process among the messages that go there now; undefined if none is due or that process
   * does not support it. It is due sooner than one on the connection itself, so a pair of connections that carries messages both ways
   * needs no separate acknowledgements.
   */
  takeCrossAcknowledgement(to: string, now: number): CrossAcknowledgement | undefined {
    const peer = this.#peers.get(to);
    if (
      peer === undefined ||
      now - peer.acknowledgedAt < constants.piggybackedAcknowledgementIntervalMs
    )
      return undefined;
    const { takesCrossAcknowledgements, life, connection } = peer.hello;
    if (takesCrossAcknowledgements !== true || life === undefined || connection === undefined)
      return undefined;
    const received = peer.socket.bytesRead;
    if (received === peer.acknowledged) return undefined;
    recordAcknowledgement(peer, received, now, true);
    return { received, life, connection };
  }

  #dispatch(message: unknown, from: string): void {
    const acknowledgement = readCrossAcknowledgement(message);
    if (acknowledgement === undefined) this.#options.receive(message, from);
    else this.#options.acknowledged(acknowledgement, from);
  }

  /** Acknowledges on the connection itself the bytes received since the last acknowledgement, if that is long enough ago. */
  #acknowledge(peer: PeerConnection | undefined, now: number): void {
    if (peer === undefined || now - peer.acknowledgedAt < constants.acknowledgementIntervalMs)
      return;
    const received = peer.socket.bytesRead;
    if (received === peer.acknowledged && !peer.isCrossAcknowledgementLast) return;
    recordAcknowledgement(peer, received, now, false);
    const acknowledgement: Acknowledgement = { received };
    peer.socket.write(encodeFrame(acknowledgement));
  }

  /** Checks the first message of a connection; returns the hello if the connection is accepted. */
  #handleHello(socket: Socket, message: unknown): Hello | undefined {
    const hello = readHello(message);
    if (hello === undefined || !this.#isCompatible(hello.mark)) {
      this.#refuse(socket, message);
      return undefined;
    }
    if (hello.connection === undefined) return hello;
    const current = this.#peers.get(hello.from);
    if (current !== undefined && isOlder(hello, current.hello)) {
      socket.destroy();
      return undefined;
    }
    if (current !== undefined && current.hello.life !== hello.life)
      this.#options.log.warn(
        { from: hello.from, address: socket.remoteAddress },
        "another incarnation uses this address; its connection replaces the earlier one",
      );
    // The sender has abandoned the earlier connection, and the network may have lost its reset.
    current?.socket.destroy();
    const peer: PeerConnection = {
      hello,
      socket,
      acknowledged: 0,
      acknowledgedAt: Number.NEGATIVE_INFINITY,
      isCrossAcknowledgementLast: false,
    };
    this.#peers.set(hello.from, peer);
    this.#acknowledge(peer, performance.now());
    return hello;
  }

  /** Whether messages of a protocol version can be read here. */
  #isCompatible(mark: number): boolean {
    return mark <= this.#options.mark + 1 && mark >= constants.oldestWireFormatVersion;
  }

  #refuse(socket: Socket, message: unknown): void {
    const mark = (message as Partial<Hello> | null)?.mark;
    const own = this.#options.mark;
    this.refused += 1;
    this.#options.log.error(
      { address: socket.remoteAddress, mark, own },
      "unknown product or incompatible protocol version; refusing the connection",
    );
    const refused = `wire mark ${String(mark)} is not known here, which speaks ${own}`;
    socket.end(encodeFrame({ refused }));
  }
}

function recordAcknowledgement(
  peer: PeerConnection,
  received: number,
  now: number,
  isCrossAcknowledgement: boolean,
): void {
  peer.acknowledged = received;
  peer.acknowledgedAt = now;
  peer.isCrossAcknowledgementLast = isCrossAcknowledgement;
}

/** Whether a connection was opened before the current one by the same incarnation. */
function isOlder(hello: Hello, current: Hello): boolean {
  return hello.life === current.life && (hello.connection ?? 0) < (current.connection ?? 0);
}
