/** What scripted runners do with the requests that they read (features/relay.feature, links to runners). */
import type { Server, Socket } from "node:net";
import type { EventBudget, PassageRunnerConnections, PassageEvent } from "@chutewick/data";

/** Scripted runner, and the links to it. */
export interface World {
  server: Server;
  sockets: Socket[];
  /** Bytes of each connection as they came. */
  read: string[];
  inquiries: number;
  script: Script;
  address: string;
  links: PassageRunnerConnections;
  eventBudget: EventBudget;
  events: Map<number, PassageEvent[]>;
  works: number;
  /** ms. Clock of the links; it stands still but where a step lets time pass. */
  now: number;
  share: number;
  look: string | undefined;
  held: number;
  /** bytes. Of the body that hangs. */
  size: number;
  idle: string;
}

/** A runner that is scripted: it is handed each whole request with its number, from 1, and the connection. */
export type Script = (world: World, number: number, id: string, socket: Socket) => void;

function head(id: string | undefined, more: string, status = "200 OK"): string {
  return `HTTP/1.1 ${status}\r\n${id === undefined ? "" : `Chutewick-Inquiry: ${id}\r\n`}Chutewick-Stamp: s\r\n${more}\r\n`;
}

function whole(world: World, id: string): string {
  return `${head(id, `Content-Length: 5\r\n${world.idle}`)}whole`;
}

function chunk(text: string): string {
  return `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`;
}

const chunked = "Transfer-Encoding: chunked\r\n";

export const scripts: Record<string, Script> = {
  "answers each inquiry"(world, _number, id, socket) {
    socket.write(whole(world, id));
  },
  "answers for another inquiry"(world, _number, _id, socket) {
    socket.write(whole(world, "w-999"));
  },
  "answers without an id"(_world, _number, _id, socket) {
    socket.write(`${head(undefined, "Content-Length: 5\r\n")}whole`);
  },
  "cuts the body short"(_world, _number, id, socket) {
    socket.end(`${head(id, "Content-Length: 5\r\n")}who`);
  },
  "cuts a chunked body short"(_world, _number, id, socket) {
    socket.end(head(id, chunked) + chunk("whole"));
  },
  "sends what is not an answer"(_world, _number, _id, socket) {
    socket.write("it is late\r\n\r\n");
  },
  "closes after the inquiry"(_world, _number, _id, socket) {
    socket.end();
  },
  "resets after the inquiry"(_world, _number, _id, socket) {
    socket.resetAndDestroy();
  },
  "encodes the body"(_world, _number, id, socket) {
    socket.write(`${head(id, "Content-Length: 5\r\nContent-Encoding: gzip\r\n")}whole`);
  },
  "ends the body with the connection alone"(_world, _number, id, socket) {
    socket.end(`${head(id, "")}whole`);
  },
  "ends the stream within an event"(_world, _number, id, socket) {
    socket.write(`${head(id, chunked)}${chunk("id: 1\ndata: a\n\nid: 2\nda")}0\r\n\r\n`);
  },
  "ends a body of unknown coding by closing"(_world, _number, id, socket) {
    socket.end(`${head(id, "Transfer-Encoding: x-chunked\r\n")}whole`);
  },
  "tells a status that does not exist"(_world, _number, id, socket) {
    socket.write(`${head(id, "Content-Length: 5\r\n", "099 Odd")}whole`);
  },
  "switches protocols unasked"(_world, _number, id, socket) {
    socket.write(head(id, "Connection: upgrade\r\nUpgrade: x\r\n", "101 Switching Protocols"));
  },
  "reads nothing for now"() {},
  "answers the inquiry before once more with each"(world, _number, id, socket) {
    const stray = socket.bytesWritten === 0 ? "" : `${head(id, "Content-Length: 5\r\n")}stray`;
    socket.write(stray + whole(world, id));
  },
  "answers twice"(world, _number, id, socket) {
    socket.write(whole(world, id) + whole(world, id));
  },
  "answers the second inquiry for the first"(world, number, id, socket) {
    socket.write(whole(world, number === 1 ? id : "w-1"));
  },
  "refuses the first inquiry"(world, number, id, socket) {
    socket.write(
      number === 1
        ? `${head(id, "Content-Length: 4\r\nChutewick-Taken: no\r\nRetry-After: 0.2\r\n", "503 Full")}full`
        : whole(world, id),
    );
  },
  "closes each connection after its answer"(_world, _number, id, socket) {
    socket.end(`${head(id, "Content-Length: 5\r\n")}whole`);
  },
  "streams 4 events byte by byte"(_world, _number, id, socket) {
    let text = head(id, chunked);
    for (let number = 1; number <= 4; number += 1)
      text += chunk(
        `mark: 7\nid: ${number * 2}\r\ndata: piece ${number}\ndata: ä\n${number % 2 === 0 ? "\r\n" : "\n"}`.replace(
          /\r?\n\r\n$/,
          "\r\n\r\n",
        ),
      );
    text += "0\r\n\r\n";
    const all = Buffer.from(text);
    let at = 0;
    function next(): void {
      if (at >= all.length) return;
      socket.write(all.subarray(at, at + 1));
      at += 1;
      setImmediate(next);
    }
    next();
  },
  "streams without end"(world, _number, id, socket) {
    socket.write(head(id, chunked));
    const text = chunk(`id: 1\ndata: ${"x".repeat(60_000)}\n\n`);
    let number = 0;
    function more(): void {
      while (!socket.destroyed && socket.write(text)) {
        number += 1;
        world.held = number;
        if (number % 50 === 0) {
          setImmediate(more);
          return;
        }
      }
      world.held = number;
    }
    socket.on("drain", more);
    more();
  },
  "streams bytes that make no event"(_world, _number, id, socket) {
    socket.write(head(id, chunked));
    const text = chunk("x".repeat(60_000));
    function more(): void {
      while (!socket.destroyed && socket.write(text));
    }
    socket.on("drain", more);
    more();
  },
  "never answers"() {},
};
