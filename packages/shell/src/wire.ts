/** Messages between the fleet's own processes: framed msgpack over TCP, each side sending on its own connection (docs/design.md §10.3). */
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

export interface WireOptions {
  /** IP:port under which other processes know this one. */
  readonly address: string;
  /** IP:port to listen on. */
  readonly listen: string;
  readonly log: Log;
  readonly receive: (message: unknown, from: string) => void;
  readonly mark?: number;
}

export class Wire {
  readonly #options: WireOptions;
  readonly #outgoingOptions: OutgoingOptions;
  readonly #outgoing = new Map<string, OutgoingConnection>();
  readonly #incoming: IncomingConnections;
  readonly connections: ConnectionCounts = { opened: 0, lost: 0, stalled: 0 };
  #server: Server | undefined;
  #isClosed = false;
  #beatAt: number | undefined;
  sent = 0;
  dropped = 0;

  constructor(options: WireOptions) {
    this.#options = options;
    const { log, receive } = options;
    const life = randomUUID();
    const self = this;
    function acknowledged(acknowledgement: CrossAcknowledgement, from: string): void {
      if (acknowledgement.life === life)
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
        life,
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
      localAddress: split(options.listen).host,
      counts: this.connections,
      takeCrossAcknowledgement,
    };
  }

  get mark(): number {
    return this.#options.mark ?? constants.wireMark;
  }

  /** Connections refused because the other process speaks another version. */
  get refused(): number {
    return this.#incoming.refused;
  }

  async open(): Promise<void> {
    const { host, port } = split(this.#options.listen);
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

  close(): void {
    this.#isClosed = true;
    this.#server?.close();
    this.#incoming.close();
    for (const connection of this.#outgoing.values()) connection.close();
  }

  /** Best effort: what cannot be sent now is dropped, and the cores send again. */
  send(to: string, message: unknown): boolean {
    const isSent = !this.#isClosed && this.#connection(to).send(message);
    if (isSent) this.sent += 1;
    else this.dropped += 1;
    return isSent;
  }

  /** To be called with each beat of the process; now in ms, monotonic. Finds connections that have stalled, and acknowledges what came on others. */
  beat(now: number): void {
    const elapsed = now - (this.#beatAt ?? now);
    this.#beatAt = now;
    /** A process that stood still has not yet read what came meanwhile: no more than two beats of that time count. */
    const ran = Math.min(elapsed, constants.beatEvery * 2);
    for (const connection of this.#outgoing.values()) connection.elapse(ran);
    this.#incoming.beat(now);
  }

  #connection(to: string): OutgoingConnection {
    let connection = this.#outgoing.get(to);
    if (connection === undefined) {
      connection = new OutgoingConnection(to, this.#outgoingOptions);
      this.#outgoing.set(to, connection);
    }
    return connection;
  }
}

function split(address: string): { host: string; port: number } {
  const separator = address.lastIndexOf(":");
  return { host: address.slice(0, separator), port: Number(address.slice(separator + 1)) };
}
