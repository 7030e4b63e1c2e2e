import { createServer, connect, type Server, type Socket } from "node:net";
import { constants } from "@chutewick/parts";
import { Packr } from "msgpackr";
import type { Log } from "./log.js";

/** Messages between the fleet's own processes: framed msgpack over TCP, each side sending on its own connection (docs/design.md §10.3). */
interface Hello {
  readonly product: "chutewick";
  readonly mark: number;
  readonly from: string;
}

interface Line {
  readonly to: string;
  socket: Socket | undefined;
  retryAt: number;
}

export interface WireOptions {
  readonly address: string;
  readonly listen: string;
  readonly log: Log;
  readonly receive: (message: unknown, from: string) => void;
  readonly mark?: number;
}

export class Wire {
  #options: WireOptions;
  #packer = new Packr({ useRecords: false });
  #lines = new Map<string, Line>();
  #incoming = new Set<Socket>();
  #server: Server | undefined;
  #closed = false;
  sent = 0;
  dropped = 0;
  refused = 0;

  constructor(options: WireOptions) {
    this.#options = options;
  }

  get mark(): number {
    return this.#options.mark ?? constants.wireMark;
  }

  async open(): Promise<void> {
    const { listen } = this.#options;
    const cut = listen.lastIndexOf(":");
    const self = this;
    function accepted(socket: Socket): void {
      self.#accept(socket);
    }
    const server = createServer({ noDelay: true }, accepted);
    this.#server = server;
    function listening(resolve: () => void, reject: (error: Error) => void): void {
      server.once("error", reject);
      server.listen(Number(listen.slice(cut + 1)), listen.slice(0, cut), resolve);
    }
    await new Promise<void>(listening);
  }

  close(): void {
    this.#closed = true;
    this.#server?.close();
    for (const socket of this.#incoming) socket.destroy();
    for (const line of this.#lines.values()) line.socket?.destroy();
  }

  /** Best effort: what cannot be sent now is dropped, and the cores send again. */
  send(to: string, message: unknown): boolean {
    const line = this.#line(to);
    if (line.socket === undefined || line.socket.writableLength > constants.wireBacklog) {
      this.dropped += 1;
      return false;
    }
    this.sent += 1;
    line.socket.write(this.#frame(message));
    return true;
  }

  #frame(message: unknown): Buffer {
    const body = this.#packer.pack(message);
    const frame = Buffer.allocUnsafe(body.length + 4);
    frame.writeUInt32BE(body.length, 0);
    body.copy(frame, 4);
    return frame;
  }

  #line(to: string): Line {
    let line = this.#lines.get(to);
    if (line === undefined) {
      line = { to, socket: undefined, retryAt: 0 };
      this.#lines.set(to, line);
    }
    if (line.socket === undefined && !this.#closed && performance.now() >= line.retryAt)
      this.#connect(line);
    return line;
  }

  #connect(line: Line): void {
    const self = this;
    const cut = line.to.lastIndexOf(":");
    const own = this.#options.listen.slice(0, this.#options.listen.lastIndexOf(":"));
    const socket = connect({
      host: line.to.slice(0, cut),
      port: Number(line.to.slice(cut + 1)),
      localAddress: own,
      noDelay: true,
    });
    line.socket = socket;
    /** Written before the connection stands: what is sent meanwhile waits behind it, for this short time. */
    const hello: Hello = { product: "chutewick", mark: this.mark, from: this.#options.address };
    socket.write(this.#frame(hello));
    function late(): void {
      if (socket.connecting) socket.destroy();
    }
    const patience = setTimeout(late, constants.connectPatience);
    function closed(): void {
      clearTimeout(patience);
      if (line.socket === socket) {
        line.socket = undefined;
        line.retryAt = performance.now() + constants.reconnectAfter;
      }
    }
    function failed(): void {
      socket.destroy();
    }
    function told(message: unknown): boolean {
      self.#options.log.error({ to: line.to, message }, "refused by the other process");
      return true;
    }
    socket.once("close", closed);
    socket.on("error", failed);
    this.#read(socket, told);
  }

  #accept(socket: Socket): void {
    const self = this;
    this.#incoming.add(socket);
    let from: string | undefined;
    function failed(): void {
      socket.destroy();
    }
    function closed(): void {
      self.#incoming.delete(socket);
    }
    function told(message: unknown): boolean {
      if (from === undefined) {
        const hello = message as Partial<Hello> | null;
        if (
          hello?.product !== "chutewick" ||
          typeof hello.mark !== "number" ||
          hello.mark > self.mark + 1 ||
          hello.mark < constants.wireMarkOldest ||
          typeof hello.from !== "string"
        ) {
          self.refused += 1;
          self.#options.log.error(
            { address: socket.remoteAddress, mark: hello?.mark, own: self.mark },
            "wire mark or product not known: connection refused",
          );
          socket.end(
            self.#frame({
              refused: `wire mark ${String(hello?.mark)} is not known here, which speaks ${self.mark}`,
            }),
          );
          return false;
        }
        from = hello.from;
        return true;
      }
      self.#options.receive(message, from);
      return true;
    }
    socket.on("error", failed);
    socket.once("close", closed);
    this.#read(socket, told);
  }

  /** Cuts a stream into messages; what is no message ends the connection. */
  #read(socket: Socket, told: (message: unknown) => boolean): void {
    const self = this;
    let held: Buffer[] = [];
    let size = 0;
    let stopped = false;
    function arrived(chunk: Buffer): void {
      if (stopped) return;
      held.push(chunk);
      size += chunk.length;
      if (size < 4) return;
      let all = held.length === 1 ? chunk : Buffer.concat(held, size);
      while (all.length >= 4) {
        const length = all.readUInt32BE(0);
        if (length > constants.messageMost) {
          self.#options.log.error({ length }, "a message over the bound: connection ended");
          stopped = true;
          socket.destroy();
          return;
        }
        if (all.length < length + 4) break;
        let message: unknown;
        try {
          message = self.#packer.unpack(all.subarray(4, length + 4));
        } catch {
          self.#options.log.error(
            { address: socket.remoteAddress },
            "not a message: connection ended",
          );
          stopped = true;
          socket.destroy();
          return;
        }
        all = all.subarray(length + 4);
        if (!told(message)) {
          stopped = true;
          return;
        }
      }
      held = all.length === 0 ? [] : [all];
      size = all.length;
    }
    socket.on("data", arrived);
  }
}
