import { ok } from "node:assert/strict";
import type { Socket } from "node:net";
import { configuration } from "@chutewick/control";
import { documents } from "@chutewick/platform";
import type { AccessNode } from "./calls-node.js";
import type { StandIn } from "./calls-runner.js";

/** What the steps of features/calls.feature share. */

export const host = "shop.example";

export interface Answer {
  readonly id: string;
  readonly path: string;
  readonly status: number;
  readonly body: string;
}

export interface RawCaller {
  readonly socket: Socket;
  text: string;
  closed: boolean;
}

export interface World {
  node: AccessNode;
  runners: StandIn[];
  answers: Answer[];
  raw: RawCaller;
  /** All raw callers of the scenario. */
  raws: RawCaller[];
  revision: number;
  routes: unknown[];
  broken: number;
  calls: number;
}

/** Enters the next version of the document. */
export function configure(
  world: World,
  limits: Record<string, number> | undefined,
  subscribers?: readonly { readonly name: string; readonly credentials: readonly string[] }[],
): void {
  world.revision += 1;
  const document = {
    revision: world.revision,
    routes: world.routes,
    services: [{ name: "printer", healthPath: "/health", maxConnections: 0 }],
    ...(limits === undefined ? {} : { limits }),
    ...(subscribers === undefined ? {} : { subscribers }),
  };
  const translated = documents.replaced(JSON.stringify(document), 0);
  ok(translated !== undefined, "the document is valid");
  const checked = configuration.check(translated.value);
  ok(checked.ok, checked.ok ? "" : checked.reason);
  world.node.known.configuration = { mark: translated.mark, value: checked.value };
}

export function runsOf(world: World): Map<string, number> {
  const all = new Map<string, number>();
  for (const { runs } of world.runners)
    for (const [id, count] of runs) all.set(id, (all.get(id) ?? 0) + count);
  return all;
}
