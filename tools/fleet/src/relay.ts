import { connect, createServer, type Server, type Socket } from "node:net";

/** Stands before each process's wire address, so links can be cut and mended from outside. */
interface Pair {
  readonly from: string;
  readonly to: string;
  readonly near: Socket;
  readonly far: Socket;
}

export class Relay {
  #servers: Server[] = [];
  #pairs = new Set<Pair>();
  #cuts = new Set<string>();

  async open(address: string, target: string): Promise<void> {
    const self = this;
    const [host, port] = split(address);
    const [targetHost, targetPort] = split(target);
    function accepted(near: Socket): void {
      const from = near.remoteAddress ?? "";
      const far = connect({
        host: targetHost,
        port: targetPort,
        localAddress: from,
        noDelay: true,
      });
      const pair: Pair = { from, to: host, near, far };
      self.#pairs.add(pair);
      function ended(): void {
        self.#pairs.delete(pair);
        near.destroy();
        far.destroy();
      }
      near.on("error", ended);
      far.on("error", ended);
      near.on("close", ended);
      far.on("close", ended);
      function out(chunk: Buffer): void {
        if (!self.#isCut(pair.from, pair.to)) far.write(chunk);
      }
      function back(chunk: Buffer): void {
        if (!self.#isCut(pair.from, pair.to)) near.write(chunk);
      }
      near.on("data", out);
      far.on("data", back);
    }
    const server = createServer({ noDelay: true }, accepted);
    this.#servers.push(server);
    function listening(resolve: () => void, reject: (error: Error) => void): void {
      server.once("error", reject);
      server.listen(port, host, resolve);
    }
    await new Promise<void>(listening);
  }

  #isCut(from: string, to: string): boolean {
    return (
      this.#cuts.has(`${from}>${to}`) || this.#cuts.has(`${from}>*`) || this.#cuts.has(`*>${to}`)
    );
  }

  /** Bytes vanish both ways, as when a cable is drawn; no side is told. */
  cut(left: string, right = "*"): void {
    this.#cuts.add(`${left}>${right}`);
    this.#cuts.add(`${right}>${left}`);
  }

  /** What was lost cannot come again: connections that missed bytes are ended. */
  mend(): void {
    for (const pair of this.#pairs) {
      if (!this.#isCut(pair.from, pair.to)) continue;
      pair.near.destroy();
      pair.far.destroy();
    }
    this.#cuts.clear();
  }

  close(): void {
    for (const server of this.#servers) server.close();
    for (const pair of this.#pairs) {
      pair.near.destroy();
      pair.far.destroy();
    }
  }
}

function split(address: string): [string, number] {
  const cut = address.lastIndexOf(":");
  return [address.slice(0, cut), Number(address.slice(cut + 1))];
}
