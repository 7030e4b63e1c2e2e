import { command, number, oneOf, option, optional, run, string } from "cmd-ts";
import { StandInRunner } from "./runner.js";

/** `npm run runner -- --id runner-1 --address 127.0.4.1:7300 --access 127.0.3.1:7200 --models reader` */
function start(given: {
  id: string;
  address: string;
  access: string;
  models: string | undefined;
  kind: string;
  seats: number;
  zone: string;
  pieceMs: number;
  pieces: number;
}): void {
  const runner = new StandInRunner({
    id: given.id,
    address: given.address,
    kind: given.kind as "model" | "plain",
    models: given.models?.split(",") ?? [],
    seats: given.seats,
    zone: given.zone,
    access: given.access.split(","),
    behaviour: { pieceMs: given.pieceMs, pieces: given.pieces },
  });
  async function leave(): Promise<void> {
    process.exit((await runner.deregister()) ? 0 : 1);
  }
  process.on("SIGTERM", leave);
  void runner.start();
}

const program = command({
  name: "runner",
  description: "a stand-in for a runner",
  args: {
    id: option({ type: string, long: "id" }),
    address: option({ type: string, long: "address" }),
    access: option({ type: string, long: "access" }),
    models: option({ type: optional(string), long: "models" }),
    kind: option({ type: oneOf(["model", "plain"]), long: "kind", defaultValue: modelKind }),
    seats: option({ type: number, long: "seats", defaultValue: seatsUsual }),
    zone: option({ type: string, long: "zone", defaultValue: zoneUsual }),
    pieceMs: option({ type: number, long: "piece-ms", defaultValue: pieceUsual }),
    pieces: option({ type: number, long: "pieces", defaultValue: piecesUsual }),
  },
  handler: start,
});

function modelKind(): "model" | "plain" {
  return "model";
}
function seatsUsual(): number {
  return 32;
}
function zoneUsual(): string {
  return "a";
}
function pieceUsual(): number {
  return 15;
}
function piecesUsual(): number {
  return 8;
}

void run(program, process.argv.slice(2));
