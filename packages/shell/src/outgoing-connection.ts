/** A process's own connection to another process, replaced where it stalls (docs/design.md §10.3). */
import { connect, type Socket } from "node:net";
import { constants } from "@chutewick/parts";
import { ConnectionProgress } from "./connection-progress.js";
import { FrameBatch } from "./frame-batch.js";
import { encodeFrame, FrameReader } from "./frames.js";
import { invariants } from "./invariants.js";
import type { Log } from "./log.js";
import { isAcknowledgement, type CrossAcknowledgement, type Hello } from "./wire-messages.js";

/** ms. Something is wrong here where messages are sent for so long and nothing is heard. */
const UNANSWERED_MOST = 2 * (constants.acknowledgeEvery + constants.acknowledgementPatience);

/** What all connections of a process have in common. */
export interface OutgoingOptions {
  readonly log: Log;
  /** IP that connections come from. */
  readonly localAddress: string;
  /** The first frame of the connection with a number. */
  readonly hello: (connection: number) => Hello;
  readonly counts: ConnectionCounts;
  /** What is to be acknowledged to another process among the messages that go there now. */
  readonly takeCrossAcknowledgement: (to: string) => CrossAcknowledgement | undefined;
}

/** Outgoing connections of a process since its start. */
export interface ConnectionCounts {
  opened: number;
  /** Closed by whichever side, or never come up. */
  lost: number;
  /** Of these, closed here because they carried nothing any more. */
  stalled: number;
}

interface OpenSocket {
  readonly socket: Socket;
  readonly batch: FrameBatch;
  readonly progress: ConnectionProgress;
}

/** Opens a connection with the first message, and another after one that was lost or has stalled. */
export class OutgoingConnection {
  readonly #to: string;
  readonly #options: OutgoingOptions;
  #open: OpenSocket | undefined;
  #retryAt = 0;
  #number = 0;
  /** The other process acknowledges what it receives; earlier releases do not. */
  #acknowledges = false;
  /** Connections in a row that came up and whose hello was not answered in time. */
  #unansweredHellos = 0;
  #wasConnected = false;
  /** ms in which this process ran and had something to send, since the other one answered on this connection. */
  #unansweredFor = 0;
  #hadMessages = false;

  constructor(to: string, options: OutgoingOptions) {
    this.#to = to;
    this.#options = options;
  }

  /** Best effort; false where the message was dropped. A connection that is not there is opened. */
  send(message: unknown): boolean {
    if (this.#open === undefined && performance.now() >= this.#retryAt) this.#connect();
    if (this.#open === undefined) return false;
    const { batch } = this.#open;
    this.#hadMessages = true;
    if (batch.unsentBytes > constants.wireBacklog) return false;
    const acknowledgement = this.#options.takeCrossAcknowledgement(this.#to);
    if (acknowledgement !== undefined) batch.add(encodeFrame(acknowledgement));
    batch.add(encodeFrame(message));
    return true;
  }

  /** Some ms have passed in which this process ran: a connection that carries nothing any more is closed, so that the next message opens another. */
  elapse(milliseconds: number): void {
    if (this.#open === undefined || this.#open.socket.connecting) return;
    const { socket, progress } = this.#open;
    progress.elapse(milliseconds, socket.bytesWritten);
    this.#checkAnswers(milliseconds);
    if (progress.hasExpired) this.#replace(socket, progress);
  }

  /** The other process says how many bytes it has received on the connection with a number. */
  crossAcknowledged({ connection, received }: CrossAcknowledgement): void {
    if (this.#open === undefined || connection !== this.#number) return;
    this.#acknowledged(received, this.#open.progress);
  }

  #acknowledged(received: number, progress: ConnectionProgress): void {
    this.#acknowledges = true;
    this.#unansweredHellos = 0;
    this.#heard();
    progress.acknowledged(received);
  }

  close(): void {
    this.#open?.batch.flush();
    this.#open?.socket.destroy();
  }

  /** Invariant: whatever the progress says, nothing is sent for long on a connection of which nothing is heard. */
  #checkAnswers(milliseconds: number): void {
    if (!this.#acknowledges || !this.#hadMessages) return;
    this.#unansweredFor += milliseconds;
    if (this.#unansweredFor < UNANSWERED_MOST) return;
    invariants.violated("connection-stalled", { to: this.#to, unansweredFor: this.#unansweredFor });
    this.#unansweredFor = 0;
  }

  #replace(socket: Socket, progress: ConnectionProgress): void {
    this.#options.counts.stalled += 1;
    this.#options.log.warn({ to: this.#to }, "connection to another process stalled; replaced");
    if (!progress.hasAnswered) this.#unansweredHellos += 1;
    if (this.#unansweredHellos >= constants.unansweredHellos) this.#acknowledges = false;
    /** A reset takes back what the kernel has not delivered: it must not arrive after what the next connection brings. */
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
    const progress = new ConnectionProgress(this.#acknowledges);
    const batch = new FrameBatch(socket);
    this.#open = { socket, batch, progress };
    this.#number += 1;
    this.#heard();
    /** Written before the connection stands: what is sent meanwhile waits behind it, for this short time. */
    batch.add(encodeFrame(this.#options.hello(this.#number)));
    function giveUp(): void {
      if (socket.connecting) socket.destroy();
    }
    const patience = setTimeout(giveUp, constants.connectPatience);
    function connected(): void {
      self.#connected();
    }
    function closed(): void {
      clearTimeout(patience);
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
    if (this.#open?.socket !== socket) return;
    this.#open = undefined;
    this.#retryAt = performance.now() + constants.reconnectAfter;
    this.#options.counts.lost += 1;
    if (this.#wasConnected)
      this.#options.log.info({ to: this.#to }, "connection to another process lost");
    this.#wasConnected = false;
  }

  #heard(): void {
    this.#unansweredFor = 0;
    this.#hadMessages = false;
  }

  #readAnswers(socket: Socket, progress: ConnectionProgress): void {
    const self = this;
    const reader = new FrameReader();
    function arrived(chunk: Buffer): void {
      try {
        for (const answer of reader.read(chunk)) self.#answered(answer, progress);
      } catch (error) {
        self.#options.log.error(
          { to: self.#to, reason: (error as Error).message },
          "an answer on a connection cannot be read: connection ended",
        );
        socket.destroy();
      }
    }
    socket.on("data", arrived);
  }

  #answered(answer: unknown, progress: ConnectionProgress): void {
    if (isAcknowledgement(answer)) {
      this.#acknowledged(answer.received, progress);
      return;
    }
    this.#options.log.error({ to: this.#to, message: answer }, "refused by the other process");
  }
}
