/** A connection that this process opens to another one and replaces when it stalls (docs/design.md §10.3). */
import { connect, type Socket } from "node:net";
import { constants } from "@chutewick/parts";
import { ConnectionProgress } from "./connection-progress.js";
import { FrameBatch } from "./frame-batch.js";
import { encodeFrame, FrameReader } from "./frames.js";
import { invariants } from "./invariants.js";
import type { Log } from "./log.js";
import { isAcknowledgement, type CrossAcknowledgement, type Hello } from "./wire-messages.js";

/** Longest time in ms in which messages may be sent on a connection without any acknowledgement. */
const MAX_UNANSWERED_MS =
  2 * (constants.acknowledgementIntervalMs + constants.acknowledgementTimeoutMs);

/** Options shared by all outgoing connections of a process. */
export interface OutgoingOptions {
  readonly log: Log;
  /** Local IP address of the connections. */
  readonly localAddress: string;
  /** Returns the first frame of the connection with the given number. */
  readonly hello: (connection: number) => Hello;
  readonly counts: ConnectionCounts;
  /** Returns the acknowledgement to send to a process among the messages that go there now, if one is due. */
  readonly takeCrossAcknowledgement: (to: string) => CrossAcknowledgement | undefined;
}

/** Counts of the outgoing connections of a process since its start. */
export interface ConnectionCounts {
  /** Established connections. */
  opened: number;
  /** Connections closed by either side, or never established. */
  lost: number;
  /** Lost connections that were closed here because they had stalled. */
  stalled: number;
}

interface OpenSocket {
  readonly socket: Socket;
  readonly batch: FrameBatch;
  readonly progress: ConnectionProgress;
}

/** Connects when the first message is sent, and reconnects after a connection was lost or has stalled. */
export class OutgoingConnection {
  readonly #to: string;
  readonly #options: OutgoingOptions;
  #connection: OpenSocket | undefined;
  #retryAt = 0;
  #connectionNumber = 0;
  /** Whether the other process is known to acknowledge received bytes; earlier releases do not. */
  #peerAcknowledges = false;
  /** Consecutive established connections whose hello was not acknowledged in time. */
  #unansweredHellos = 0;
  #wasConnected = false;
  /** Time in ms in which this process was running and had messages to send, since the last acknowledgement on this connection. */
  #unansweredMs = 0;
  #hadMessages = false;

  constructor(to: string, options: OutgoingOptions) {
    this.#to = to;
    this.#options = options;
  }

  /** Best effort: returns false if the message was dropped. Connects if there is no connection. */
  send(message: unknown): boolean {
    if (this.#connection === undefined && performance.now() >= this.#retryAt) this.#connect();
    if (this.#connection === undefined) return false;
    const { batch } = this.#connection;
    this.#hadMessages = true;
    if (batch.unsentBytes > constants.maxWireBacklogBytes) return false;
    const acknowledgement = this.#options.takeCrossAcknowledgement(this.#to);
    if (acknowledgement !== undefined) batch.add(encodeFrame(acknowledgement));
    batch.add(encodeFrame(message));
    return true;
  }

  /**
   * Records that this process was running for some time. Closes the connection if it has stalled, so that the next message opens
   * another one.
   */
  elapse(milliseconds: number): void {
    if (this.#connection === undefined || this.#connection.socket.connecting) return;
    const { socket, progress } = this.#connection;
    progress.elapse(milliseconds, socket.bytesWritten);
    this.#checkAnswers(milliseconds);
    if (progress.hasStalled) this.#closeStalled(socket, progress);
  }

  /** Handles an acknowledgement that the other process sent on a connection of its own. */
  crossAcknowledged({ connection, received }: CrossAcknowledgement): void {
    if (this.#connection === undefined || connection !== this.#connectionNumber) return;
    this.#handleAcknowledgement(received, this.#connection.progress);
  }

  #handleAcknowledgement(received: number, progress: ConnectionProgress): void {
    this.#peerAcknowledges = true;
    this.#unansweredHellos = 0;
    this.#resetUnanswered();
    progress.acknowledged(received);
  }

  /** Writes the pending frames and closes the connection. */
  close(): void {
    this.#connection?.batch.flush();
    this.#connection?.socket.destroy();
  }

  /** Checks an invariant independently of the progress: no connection is used for long without any acknowledgement. */
  #checkAnswers(milliseconds: number): void {
    if (!this.#peerAcknowledges || !this.#hadMessages) return;
    this.#unansweredMs += milliseconds;
    if (this.#unansweredMs < MAX_UNANSWERED_MS) return;
    invariants.violated("connection-stalled", { to: this.#to, unansweredFor: this.#unansweredMs });
    this.#unansweredMs = 0;
  }

  #closeStalled(socket: Socket, progress: ConnectionProgress): void {
    this.#options.counts.stalled += 1;
    this.#options.log.warn({ to: this.#to }, "connection to another process stalled; closing it");
    if (!progress.hasAnswered) this.#unansweredHellos += 1;
    if (this.#unansweredHellos >= constants.maxUnansweredHellos) this.#peerAcknowledges = false;
    // A reset discards what the kernel has not delivered, so that it cannot arrive after messages of the next connection.
    socket.resetAndDestroy();
    this.#closed(socket);
  }

  #connect(): void {
    const self = this;
    const separator = this.#to.lastIndexOf(":");
    const socket = connect({
      host: this.#to.slice(0, separator),
      port: Number(this.#to.slice(separator + 1)),
      localAddress: this.#options.localAddress,
      noDelay: true,
    });
    const progress = new ConnectionProgress(this.#peerAcknowledges);
    const batch = new FrameBatch(socket);
    this.#connection = { socket, batch, progress };
    this.#connectionNumber += 1;
    this.#resetUnanswered();
    // Written before the connection is established; messages sent meanwhile are buffered behind it.
    batch.add(encodeFrame(this.#options.hello(this.#connectionNumber)));
    function abortConnect(): void {
      if (socket.connecting) socket.destroy();
    }
    const connectTimeout = setTimeout(abortConnect, constants.connectTimeoutMs);
    function connected(): void {
      self.#connected();
    }
    function closed(): void {
      clearTimeout(connectTimeout);
      self.#closed(socket);
    }
    function failed(): void {
      socket.destroy();
    }
    socket.once("connect", connected);
    socket.once("close", closed);
    socket.on("error", failed);
    this.#readAnswers(socket, progress);
  }

  #connected(): void {
    this.#options.counts.opened += 1;
    if (!this.#wasConnected)
      this.#options.log.info({ to: this.#to }, "connected to another process");
    this.#wasConnected = true;
  }

  #closed(socket: Socket): void {
    if (this.#connection?.socket !== socket) return;
    this.#connection = undefined;
    this.#retryAt = performance.now() + constants.reconnectDelayMs;
    this.#options.counts.lost += 1;
    if (this.#wasConnected)
      this.#options.log.info({ to: this.#to }, "connection to another process lost");
    this.#wasConnected = false;
  }

  #resetUnanswered(): void {
    this.#unansweredMs = 0;
    this.#hadMessages = false;
  }

  #readAnswers(socket: Socket, progress: ConnectionProgress): void {
    const self = this;
    const reader = new FrameReader();
    function receive(chunk: Buffer): void {
      try {
        for (const answer of reader.read(chunk)) self.#handleAnswer(answer, progress);
      } catch (error) {
        self.#options.log.error(
          { to: self.#to, reason: (error as Error).message },
          "received an invalid frame; closing the connection",
        );
        socket.destroy();
      }
    }
    socket.on("data", receive);
  }

  #handleAnswer(answer: unknown, progress: ConnectionProgress): void {
    if (isAcknowledgement(answer)) {
      this.#handleAcknowledgement(answer.received, progress);
      return;
    }
    this.#options.log.error(
      { to: this.#to, message: answer },
      "the other process refused the connection",
    );
  }
}
