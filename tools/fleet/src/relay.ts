/** Links between the processes of a fleet that can be cut and mended from outside, and that stall as TCP does after a cut. */
import { connect, createServer, type Server, type Socket } from "node:net";
import { LinkChannel } from "./link-channel.js";

/**
 * Stands before each process's wire address. A cut is silent: no side is told, and bytes stay with their sender, who tries again
 * after pauses that double. So a connection that was used during a cut stays stalled after it, for as long again as the cut
 * lasted at most, while a new connection works at once.
 */
export class Relay {
  #servers: Server[] = [];
  #channels = new Set<LinkChannel>();
  #cuts = new Set<string>();
  /** Connections that were opened during a cut and come up with its end. */
  #opening = new Set<() => void>();

  async open(address: string, target: string): Promise<void> {
    const self = this;
    const [host, port] = split(address);
    const [targetHost, targetPort] = split(target);
    function accepted(near: Socket): void {
      const from = near.remoteAddress ?? "";
      near.on("error", ignored);
      function comeUp(): void {
        self.#opening.delete(comeUp);
        if (near.destroyed) return;
        const far = connect({
          host: targetHost,
          port: targetPort,
          localAddress: from,
          noDelay: true,
        });
        self.#join(near, far, from, host);
      }
      if (self.#isCut(from, host) || self.#isCut(host, from)) self.#opening.add(comeUp);
      else comeUp();
    }
    const server = createServer({ noDelay: true }, accepted);
    this.#servers.push(server);
    function listening(resolve: () => void, reject: (error: Error) => void): void {
      server.once("error", reject);
      server.listen(port, host, resolve);
    }
    await new Promise<void>(listening);
  }

  #join(near: Socket, far: Socket, from: string, to: string): void {
    const self = this;
    function isCutForth(): boolean {
      return self.#isCut(from, to);
    }
    function isCutBack(): boolean {
      return self.#isCut(to, from);
    }
    const channels = [
      new LinkChannel(near, far, isCutForth),
      new LinkChannel(far, near, isCutBack),
    ];
    for (const channel of channels) this.#channels.add(channel);
    function forget(): void {
      if (!near.destroyed || !far.destroyed) return;
      for (const channel of channels) self.#channels.delete(channel);
    }
    near.once("close", forget);
    far.once("close", forget);
  }

  #isCut(from: string, to: string): boolean {
    return (
      this.#cuts.has(`${from}>${to}`) || this.#cuts.has(`${from}>*`) || this.#cuts.has(`*>${to}`)
    );
  }

  /** Nothing passes either way, as when a cable is drawn. */
  cut(left: string, right = "*"): void {
    this.cutOneWay(left, right);
    this.cutOneWay(right, left);
  }

  /** Nothing passes from one address to the other. */
  cutOneWay(from: string, to = "*"): void {
    this.#cuts.add(`${from}>${to}`);
  }

  /** All links are whole again; connections go on with their next retransmission. */
  mend(): void {
    this.#cuts.clear();
    for (const comeUp of [...this.#opening]) comeUp();
  }

  close(): void {
    for (const server of this.#servers) server.close();
    for (const channel of this.#channels) channel.stop();
  }
}

function ignored(): void {
  // The close that follows an error is what counts.
}

function split(address: string): [string, number] {
  const cut = address.lastIndexOf(":");
  return [address.slice(0, cut), Number(address.slice(cut + 1))];
}
