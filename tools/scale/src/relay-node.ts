import { Wire } from "@chutewick/shell";
import { quiet } from "./uses.js";
import { loadsOf } from "./sketches.js";

/** The messages of a proposed relay and nothing of its rules: hears sessions, grants, tells loads and sums once a second (docs/CAPACITY.md §5). `node relay-node.js ADDRESS RUNNERS SUMS` */
const [address, runners, sums] = [
  process.argv[2]!,
  Number(process.argv[3]),
  Number(process.argv[4]),
];
const nodes = new Map<string, { place: number; counts: number }>();
let place = 0;

function receive(message: unknown, from: string): void {
  const { askedAt, counts } = message as { askedAt: number; counts: readonly number[] };
  nodes.set(from, { place, counts: counts.length });
  wire.send(from, {
    kind: "lease",
    identity: "control-3-4f1c9a70-0b67-4f0e-9d3c-6c1a1f6e2b15",
    mark: 12,
    askedAt,
    place,
    roll: place,
    stamp: { at: askedAt },
    controls: [address],
  });
}

const wire = new Wire({ address, listen: address, log: quiet, receive });
await wire.open();

function tell(): void {
  place += 1;
  const loads = loadsOf(runners, place);
  const others: number[] = [];
  for (let pool = 0; pool < sums; pool += 1) others.push(pool, 4_000, (pool * 97 + place) % 4_000);
  let number = 0;
  for (const to of nodes.keys()) {
    number += 1;
    /** Of a node's two relays one tells it. */
    if (number % 2 === 0) continue;
    wire.send(to, loads);
    wire.send(to, { kind: "sums", place, rows: others });
  }
}
setInterval(tell, 1_000);
