import { ok } from "node:assert/strict";
import { connect } from "node:net";
import { monotonicNow, waitUntil } from "@chutewick/shell";
import { host, type RawCaller, type World } from "./calls-world.js";

/** Callers on raw sockets, for bytes that no HTTP client would send. */

function ignored(): void {}

export async function openRaw(world: World): Promise<RawCaller> {
  const socket = connect({ host: "127.0.0.1", port: world.node.port, noDelay: true });
  const raw: RawCaller = { socket, text: "", closed: false };
  function came(data: Buffer): void {
    raw.text += data.toString("latin1");
  }
  function closed(): void {
    raw.closed = true;
  }
  socket.on("data", came);
  socket.on("error", ignored);
  socket.once("close", closed);
  world.raw = raw;
  world.raws.push(raw);
  function connected(): boolean {
    return !socket.connecting;
  }
  await waitUntil(connected);
  return raw;
}

export function requestOf(
  world: World,
  route: string,
  more: readonly string[] = ["Content-Length: 2"],
  body = "{}",
): string {
  world.calls += 1;
  const lines = [
    `POST /${route}/${world.calls} HTTP/1.1`,
    `Host: ${host}`,
    `Chutewick-Attempt-Id: call-${world.calls}`,
    ...more,
  ];
  return `${lines.join("\r\n")}\r\n\r\n${body}`;
}

/** Whole answers in the bytes that a caller read, each as its status and body. */
export function answersIn(text: string): { status: number; head: string; body: string }[] {
  const found: { status: number; head: string; body: string }[] = [];
  let rest = text;
  while (rest.length > 0) {
    const end = rest.indexOf("\r\n\r\n");
    ok(end >= 0, `half an answer: ${rest}`);
    const top = rest.slice(0, end);
    const long = Number(/content-length: (\d+)/i.exec(top)?.[1] ?? 0);
    ok(rest.length >= end + 4 + long, `half a body: ${rest}`);
    found.push({
      status: Number(/^HTTP\/1\.1 (\d{3})/.exec(top)?.[1]),
      head: top,
      body: rest.slice(end + 4, end + 4 + long),
    });
    rest = rest.slice(end + 4 + long);
  }
  return found;
}

function heldOf(world: World): number {
  let count = 0;
  for (const { held } of world.runners) count += held.length;
  return count;
}

export async function areHeld(world: World, count: number): Promise<void> {
  function holds(): boolean {
    return heldOf(world) === count;
  }
  await waitUntil(holds);
}

export async function passes(span: number): Promise<void> {
  const from = monotonicNow();
  function passed(): boolean {
    return monotonicNow() - from >= span;
  }
  await waitUntil(passed);
}

export function release(world: World): void {
  for (const runner of world.runners) {
    runner.holds = false;
    for (const answer of runner.held.splice(0)) answer();
  }
}
