/** Links between the processes of a fleet that can be cut and mended from outside, and that stall as TCP does after a cut. */
import { connect, createServer, type Server, type Socket } from "node:net";

/** ms. TCP's first retransmission of bytes that were not acknowledged; each further one waits twice as long. */
const FIRST_RETRANSMISSION = 200;

/** One direction of a connection. */
class Stream {
  readonly #target: Socket;
  readonly #isCut: () => boolean;
  /** What was sent and has not arrived; the end of the stream counts as sent too. */
  #unacknowledged: Buffer[] = [];
  #hasEnded = false;
  #nextTry: NodeJS.Timeout | undefined;
  #pause = FIRST_RETRANSMISSION;

  constructor(target: Socket, isCut: () => boolean) {
    this.#target = target;
    this.#isCut = isCut;
  }

  send(chunk: Buffer): void {
    if (this.#nextTry === undefined && !this.#isCut()) {
      this.#target.write(chunk);
      return;
    }
    this.#unacknowledged.push(chunk);
    this.#retransmitLater();
  }

  /** The sender closed its connection: the other end hears of it as late as of bytes. */
  end(): void {
    this.#hasEnded = true;
    /** A closed socket keeps no bytes that a cut holds up. */
    this.#unacknowledged = [];
    if (this.#isCut()) this.#retransmitLater();
    else this.#finish();
  }

  /** Drops what is held, with the fleet that it belongs to. */
  discard(): void {
    clearTimeout(this.#nextTry);
    this.#target.destroy();
  }

  #retransmitLater(): void {
    if (this.#nextTry !== undefined) return;
    const self = this;
    function retransmit(): void {
      self.#retransmit();
    }
    this.#nextTry = setTimeout(retransmit, this.#pause);
    this.#pause *= 2;
  }

  #retransmit(): void {
    this.#nextTry = undefined;
    if (this.#isCut()) {
      this.#retransmitLater();
      return;
    }
    this.#pause = FIRST_RETRANSMISSION;
    for (const chunk of this.#unacknowledged) this.#target.write(chunk);
    this.#unacknowledged = [];
    if (this.#hasEnded) this.#finish();
  }

  #finish(): void {
    clearTimeout(this.#nextTry);
    this.#nextTry = undefined;
    this.#target.destroy();
  }
}

/** A connection through the relay. */
interface Pair {
  readonly forth: Stream;
  readonly back: Stream;
}

/**
 * Stands before each process's wire address. A cut is silent: no side is told, and bytes stay with their sender, who tries again
 * after pauses that double. So a connection that was used during a cut stays stalled after it, for as long again as the cut
 * lasted at most, while a new connection works at once.
 */
export class Relay {
  #servers: Server[] = [];
  #pairs = new Set<Pair>();
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
    const pair: Pair = { forth: new Stream(far, isCutForth), back: new Stream(near, isCutBack) };
    this.#pairs.add(pair);
    function nearClosed(): void {
      pair.forth.end();
      forget();
    }
    function farClosed(): void {
      pair.back.end();
      forget();
    }
    function forget(): void {
      if (near.destroyed && far.destroyed) self.#pairs.delete(pair);
    }
    function sentForth(chunk: Buffer): void {
      pair.forth.send(chunk);
    }
    function sentBack(chunk: Buffer): void {
      pair.back.send(chunk);
    }
    far.on("error", ignored);
    near.on("data", sentForth);
    far.on("data", sentBack);
    near.on("close", nearClosed);
    far.on("close", farClosed);
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
    for (const pair of this.#pairs) {
      pair.forth.discard();
      pair.back.discard();
    }
  }
}

function ignored(): void {
  // The close that follows an error is what counts.
}

function split(address: string): [string, number] {
  const cut = address.lastIndexOf(":");
  return [address.slice(0, cut), Number(address.slice(cut + 1))];
}
