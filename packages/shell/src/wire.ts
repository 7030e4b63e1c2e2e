/** Messages between the processes of a deployment: framed msgpack over TCP, each side sending on its own connection (docs/design.md §10.3). */
import { randomUUID } from "node:crypto";
import { createServer, type Server, type Socket } from "node:net";
import { constants } from "@chutewick/parts";
import { IncomingConnections } from "./incoming-connections.js";
import type { Log } from "./log.js";
import {
  OutgoingConnection,
  type ConnectionCounts,
  type OutgoingOptions,
} from "./outgoing-connection.js";
import type { CrossAcknowledgement, Hello } from "./wire-messages.js";

/** Options of a wire. */
export interface WireOptions {
  /** IP:port at which other processes reach this one. */
  readonly address: string;
  /** IP:port to listen on. */
  readonly listen: string;
  readonly log: Log;
  readonly receive: (message: unknown, from: string) => void;
  /** Protocol version of the messages; the current one by default. */
  readonly mark?: number;
}

/** Sends messages to other processes and receives theirs. */
export class Wire {
  readonly #options: WireOptions;
  readonly #outgoingOptions: OutgoingOptions;
  readonly #outgoing = new Map<string, OutgoingConnection>();
  readonly #incoming: IncomingConnections;
  readonly connections: ConnectionCounts = { opened: 0, lost: 0, stalled: 0 };
  #server: Server | undefined;
  #isClosed = false;
  #lastTickAt: number | undefined;
  /** Messages sent since the start. */
  sent = 0;
  /** Messages dropped because they could not be sent at once. */
  dropped = 0;

  constructor(options: WireOptions) {
    this.#options = options;
    const { log, receive } = options;
    const incarnation = randomUUID();
    const self = this;
    function acknowledged(acknowledgement: CrossAcknowledgement, from: string): void {
      if (acknowledgement.life === incarnation)
        self.#outgoing.get(from)?.crossAcknowledged(acknowledgement);
    }
    const incoming = new IncomingConnections({ log, receive, acknowledged, mark: this.mark });
    this.#incoming = incoming;
    const { mark } = this;
    function hello(connection: number): Hello {
      return {
        product: "chutewick",
        mark,
        from: options.address,
        life: incarnation,
        connection,
        takesCrossAcknowledgements: true,
      };
    }
    function takeCrossAcknowledgement(to: string): CrossAcknowledgement | undefined {
      return incoming.takeCrossAcknowledgement(to, performance.now());
    }
    this.#outgoingOptions = {
      log,
      hello,
      localAddress: parseAddress(options.listen).host,
      counts: this.connections,
      takeCrossAcknowledgement,
    };
  }

  /** Protocol version that this process uses. */
  get mark(): number {
    return this.#options.mark ?? constants.wireFormatVersion;
  }

  /** Connections refused because the other process uses an incompatible protocol version. */
  get refused(): number {
    return this.#incoming.refused;
  }

  /** Starts to listen for connections of other processes. */
  async open(): Promise<void> {
    const { host, port } = parseAddress(this.#options.listen);
    const incoming = this.#incoming;
    function accepted(socket: Socket): void {
      incoming.accept(socket);
    }
    const server = createServer({ noDelay: true }, accepted);
    this.#server = server;
    function listening(resolve: () => void, reject: (error: Error) => void): void {
      server.once("error", reject);
      server.listen(port, host, resolve);
    }
    await new Promise<void>(listening);
  }

  /** Stops listening and closes all connections. */
  close(): void {
    this.#isClosed = true;
    this.#server?.close();
    this.#incoming.close();
    for (const connection of this.#outgoing.values()) connection.close();
  }

  /** Best effort: a message that cannot be sent at once is dropped and false is returned; the cores send it again. */
  send(to: string, message: unknown): boolean {
    const isSent = !this.#isClosed && this.#connectionTo(to).send(message);
    if (isSent) this.sent += 1;
    else this.dropped += 1;
    return isSent;
  }

  /**
   * Must be called at each tick of the process, with the monotonic time in ms. Replaces stalled connections and acknowledges the bytes
   * received on the others.
   */
  tick(now: number): void {
    const elapsed = now - (this.#lastTickAt ?? now);
    this.#lastTickAt = now;
    // A process that was paused has not yet read what arrived meanwhile, so at most two tick intervals of a pause count.
    const runningMs = Math.min(elapsed, constants.tickIntervalMs * 2);
    for (const connection of this.#outgoing.values()) connection.elapse(runningMs);
    this.#incoming.tick(now);
  }

  #connectionTo(to: string): OutgoingConnection {
    let connection = this.#outgoing.get(to);
    if (connection === undefined) {
      connection = new OutgoingConnection(to, this.#outgoingOptions);
      this.#outgoing.set(to, connection);
    }
    return connection;
  }
}

function parseAddress(address: string): { host: string; port: number } {
  const separator = address.lastIndexOf(":");
  return { host: address.slice(0, separator), port: Number(address.slice(separator + 1)) };
}
