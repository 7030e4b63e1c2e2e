import type { AccessOutput } from "@chutewick/data";
import type { RequestRecord } from "../checker.js";
import type { AccessMachine, ClientSight } from "../machines.js";
import { CLIENT_PATIENCE } from "./client-sight.js";
import type { Fleet } from "./fleet.js";
import type { Range } from "./options.js";

/** Kinds of requests, one after another. */
const KINDS = ["one-shot", "stream", "stream", "fetch"] as const;
/** The way of each kind in the campaign's configuration. */
const WAYS = { "one-shot": "check", stream: "manifest", fetch: "label" } as const;
/** Share of clients that leave before they have their answer, and after how many ms. */
const IMPATIENT_SHARE = 0.03;
const IMPATIENT_LEAVES: Range = [20, 200];

type RequestEnd = NonNullable<RequestRecord["told"]>;

/** Clients that ask for live work, each once. */
export class LiveClients {
  readonly #fleet: Fleet;
  #requestNumber = 0;

  constructor(fleet: Fleet) {
    this.#fleet = fleet;
  }

  /** One more client asks an access node, and leaves when it is out of patience. */
  request(): void {
    const { world, sight, accesses } = this.#fleet;
    const record = this.#newRecord();
    sight.inquiries.push(record);
    const access = world.chance.pick(accesses);
    const leave = access.exchange(this.#clientOf(record), (ticket) =>
      this.#arrive(access, ticket, record),
    );
    const leavesAfter = world.chance.happens(IMPATIENT_SHARE)
      ? world.chance.between(...IMPATIENT_LEAVES)
      : CLIENT_PATIENCE;
    world.after(leavesAfter, () => {
      if (record.told !== undefined) return;
      this.#end(record, "left");
      leave();
    });
  }

  #newRecord(): RequestRecord {
    this.#requestNumber += 1;
    const number = this.#requestNumber;
    const kind = KINDS[number % KINDS.length]!;
    const prompt = kind === "fetch" ? `/label-${number}` : `prompt-${number}`;
    return { prompt, kind, askedAt: this.#fleet.world.now, pieces: [] };
  }

  #arrive(access: AccessMachine, ticket: string, record: RequestRecord): AccessOutput[] {
    const { kind, prompt } = record;
    const isFetch = kind === "fetch";
    return access.core.arrive(
      ticket,
      WAYS[kind],
      isFetch ? undefined : { prompt },
      isFetch ? prompt : undefined,
      this.#fleet.world.now,
    );
  }

  #end(record: RequestRecord, told: RequestEnd): void {
    const { world, sight } = this.#fleet;
    record.told = told;
    record.endedAt = world.now;
    if (told === "done" && record.askedAt > sight.healedAt && sight.healedAt > 0)
      sight.serviceAt.live ??= world.now;
  }

  #clientOf(record: RequestRecord): ClientSight {
    const end = (told: RequestEnd): void => this.#end(record, told);
    const whole = (value: unknown): void => {
      record.value = value;
      end("done");
    };
    return {
      reply: (status, body) => {
        if (status === 200) whole(body["result"]);
        else end(refusalOf(body["trouble"]));
      },
      bytes: whole,
      open: () => undefined,
      piece: (number, data) => {
        if (record.told === undefined) record.pieces.push({ number, data });
      },
      close: (pieces) => {
        if (record.told !== undefined) return;
        record.closed = pieces;
        end("done");
      },
      trouble: (body) => end(body["trouble"] as RequestEnd),
      torn: () => end("torn"),
    };
  }
}

function refusalOf(trouble: unknown): RequestEnd {
  return trouble === "not-run" || trouble === "may-have-run" || trouble === "runner-failed"
    ? trouble
    : "refused";
}
