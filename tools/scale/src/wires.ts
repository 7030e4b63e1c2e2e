import { Wire } from "@chutewick/shell";
import type { Rows } from "./rows.js";
import type { Point } from "./slope.js";
import { quiet } from "./uses.js";

/** One message over a real socket, sent when the one before has come: what an end of the wire pays, sockets included. */
export async function measureWire(
  rows: Rows,
  sizes: readonly number[],
  count: number,
): Promise<void> {
  const points: Point[] = [];
  const [here, there] = ["127.76.1.1:7100", "127.76.1.2:7100"];
  let left = 0;
  let ended: (() => void) | undefined;
  let message: unknown;
  function come(this: { wire: Wire | undefined; to: string }): void {
    left -= 1;
    if (left <= 0) ended?.();
    else this.wire!.send(this.to, message);
  }
  const ends: { wire: Wire | undefined; to: string }[] = [
    { wire: undefined, to: there },
    { wire: undefined, to: here },
  ];
  for (const [place, address] of [here, there].entries()) {
    ends[place]!.wire = new Wire({
      address,
      listen: address,
      log: quiet,
      receive: come.bind(ends[place]!),
    });
    await ends[place]!.wire.open();
  }
  async function passed(messages: number): Promise<void> {
    left = messages;
    function begin(resolve: () => void): void {
      ended = resolve;
      ends[0]!.wire!.send(there, message);
    }
    await new Promise<void>(begin);
  }
  try {
    for (const size of sizes) {
      message = { kind: "scale", text: "x".repeat(size) };
      await passed(count);
      const before = process.cpuUsage();
      await passed(count);
      const used = process.cpuUsage(before);
      points.push({ at: [size], value: (used.user + used.system) / 1_000 / count / 2 });
    }
  } finally {
    for (const { wire } of ends) wire!.close();
  }
  for (const role of ["access node", "control member"] as const)
    rows.add(
      role,
      "one message at one end of the wire, processor with sockets",
      "ms",
      ["bytes"],
      points,
    );
}
