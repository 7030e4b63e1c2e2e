import { connect, createServer, type Server, type Socket } from "node:net";
import { LinkChannel } from "@chutewick/fleet";

/** ms. A connection whose opening packet met a cut is tried again after this long; then its process gives it up. */
const openingRetransmission = 1_000;

/** Stands before the wire address of each process, and cuts links between machines as real TCP feels it. */
export class LinkProxy {
  #servers: Server[] = [];
  #channels = new Set<LinkChannel>();
  #waiting = new Set<Socket>();
  /** How many cuts lie on a link in one direction, by `from>to`. */
  #cuts = new Map<string, number>();

  /** Listens at the advertised port of a machine, for the process at another port. */
  async open(host: string, port: number, target: number): Promise<void> {
    const self = this;
    function accepted(near: Socket): void {
      self.#accepted(near, host, target);
    }
    const server = createServer({ noDelay: true, pauseOnConnect: true }, accepted);
    this.#servers.push(server);
    function listen(resolve: () => void, reject: (error: Error) => void): void {
      server.once("error", reject);
      server.listen(port, host, resolve);
    }
    await new Promise<void>(listen);
  }

  /** From now on nothing comes through in this direction. */
  cut(from: string, to: string): void {
    const link = `${from}>${to}`;
    this.#cuts.set(link, (this.#cuts.get(link) ?? 0) + 1);
  }

  /** Takes one cut in this direction away. */
  heal(from: string, to: string): void {
    const link = `${from}>${to}`;
    const left = (this.#cuts.get(link) ?? 0) - 1;
    if (left > 0) this.#cuts.set(link, left);
    else this.#cuts.delete(link);
  }

  close(): void {
    for (const server of this.#servers) server.close();
    for (const channel of this.#channels) channel.stop();
    for (const socket of this.#waiting) socket.destroy();
  }

  #accepted(near: Socket, host: string, target: number): void {
    const self = this;
    const from = near.remoteAddress ?? "";
    near.on("error", () => near.destroy());
    if (!this.#isOpeningCut(from, host)) return this.#join(near, host, target);
    this.#waiting.add(near);
    function tryAgain(): void {
      self.#waiting.delete(near);
      if (near.destroyed || self.#isOpeningCut(from, host)) near.destroy();
      else self.#join(near, host, target);
    }
    setTimeout(tryAgain, openingRetransmission);
  }

  /** A connection comes up only if packets go both ways. */
  #isOpeningCut(from: string, to: string): boolean {
    return this.#cuts.has(`${from}>${to}`) || this.#cuts.has(`${to}>${from}`);
  }

  #join(near: Socket, host: string, target: number): void {
    const from = near.remoteAddress ?? "";
    const far = connect({ host, port: target, localAddress: from, noDelay: true });
    const out = new LinkChannel(near, far, () => this.#cuts.has(`${from}>${host}`));
    const back = new LinkChannel(far, near, () => this.#cuts.has(`${host}>${from}`));
    this.#channels.add(out).add(back);
    let open = 2;
    const ended = (): void => {
      open -= 1;
      if (open > 0) return;
      this.#channels.delete(out);
      this.#channels.delete(back);
    };
    near.once("close", ended);
    far.once("close", ended);
    near.resume();
  }
}
