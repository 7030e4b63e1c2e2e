import {
  DutyPerformer,
  DutyRecords,
  ScalingOrders,
  UsageReports,
  type DutyCall,
  type DutyOutcome,
  type DutyOutput,
  type ScalingOrder,
} from "@chutewick/control";
import type { DutyBounds } from "@chutewick/parts";
import { Machine, type World } from "../world.js";
import type { AskMessage, DutyGroup, RecordsMessage, ToldMessage } from "./duty-group.js";
import type { DutyPlatform } from "./duty-platform.js";

/** What a machine of the model is made of. */
export interface DutyMachineShape {
  readonly name: string;
  readonly place: number;
  readonly members: number;
  readonly bounds: DutyBounds;
  readonly platform: DutyPlatform;
  readonly group: DutyGroup;
}

/** ms. Opening of a connection to the platform takes so long at most, now and then. */
const slowConnect = 1_500;
/** Share of the connections that are slow to open, of commands that come twice, and of sends that a freeze holds up. */
const slowShare = 0.1;
const twiceShare = 0.05;
const heldShare = 0.05;
/** ms. A command that comes twice comes so much later the second time, at most. */
const twiceLater = 8_000;

/** A control machine of the model of duties: the real performer and sources, each machine with counts and wishes of its own. */
export class DutyMachine extends Machine {
  isCutFromPlatform = false;
  readonly #shape: DutyMachineShape;
  #records = new DutyRecords();
  #place = -1;
  #performer!: DutyPerformer;
  #sources!: { usage: UsageReports; scaling: ScalingOrders };
  #wish = 1;

  constructor(world: World, shape: DutyMachineShape) {
    super(world, shape.name, shape.name);
    this.#shape = shape;
  }

  protected begin(): void {
    const { bounds, name } = this.#shape;
    const { chance } = this.world;
    this.#records = new DutyRecords();
    this.#place = -1;
    this.#performer = new DutyPerformer({ name, bounds, random: () => chance.next() });
    this.#sources = {
      usage: new UsageReports(bounds, { countsOf: () => this.#counts() }, { at: () => this.#time }),
      scaling: new ScalingOrders(bounds, { desired: () => this.#wishes() }),
    };
  }

  /** ms since 1970, with the wall clock steps that hit this machine alone. */
  wallStep = 0;
  get #time(): number {
    return this.world.now + this.wallStep;
  }

  /** No two machines know the same counts, nor one machine twice. */
  #counts(): ReadonlyMap<string, number> {
    return new Map([["tenant", this.world.chance.below(1_000_000)]]);
  }

  #wishes(): ScalingOrder[] {
    if (this.world.chance.happens(0.005)) this.#wish = 1 + this.world.chance.below(9);
    return [{ pool: "readers", zone: "north", desired: this.#wish }];
  }

  protected strike(): void {
    const { now } = this;
    this.#sources.usage.begin(now);
    const due = [
      ...this.#sources.usage.due(now, this.#records),
      ...this.#sources.scaling.due(now, this.#records),
    ];
    const { place, members } = this.#shape;
    this.#perform(this.#performer.beat({ now, place, members, records: this.#records, due }));
  }

  arrived(message: unknown): void {
    const { kind } = message as RecordsMessage | ToldMessage;
    if (kind === "records") this.#recordsCame(message as RecordsMessage);
    else this.#told(message as ToldMessage);
  }

  #recordsCame({ place, records }: RecordsMessage): void {
    if (place <= this.#place) return;
    this.#place = place;
    this.#records.restore(records);
  }

  #told({ ticket, outcome }: ToldMessage): void {
    const [life, own] = splitTicket(ticket);
    if (life === this.life) this.#perform(this.#performer.inquired(own, outcome, this.now));
  }

  #perform(outputs: readonly DutyOutput[]): void {
    for (const output of outputs) {
      if (output.kind === "inquire") this.#ask(output.ticket, output.command);
      else this.#call(output.ticket, output.call);
    }
  }

  #ask(ticket: string, command: AskMessage["command"]): void {
    const { world } = this;
    const message: AskMessage = { kind: "ask", ticket: `${this.life}:${ticket}`, command };
    world.send(this.address, "group", message);
    if (world.chance.happens(twiceShare))
      world.after(world.chance.between(0, twiceLater), () =>
        world.send(this.address, "group", message),
      );
    /** Where nothing is told, the process gives up as the product does. */
    const unknown = { kind: "unknown" } as const;
    const giveUp = (): void => this.#perform(this.#performer.inquired(ticket, unknown, this.now));
    world.after(6_000, this.mine(giveUp));
  }

  /** As the adapter does: connects, looks at the clock, and sends in the same step. */
  #call(ticket: string, call: DutyCall): void {
    const { world } = this;
    const connects = world.chance.happens(slowShare) ? world.chance.between(0, slowConnect) : 0;
    let isTold = false;
    const told = (outcome: DutyOutcome): void => {
      if (isTold) return;
      isTold = true;
      this.#perform(this.#performer.called(ticket, outcome, this.now));
    };
    const send = (): void => {
      if (this.now > call.sendBy) return told("unsent");
      this.#shape.group.sent(call);
      const thaw = world.chance.happens(heldShare) ? this.#shape.bounds.thawSlack : 0;
      world.after(world.chance.between(0.3, 3) + world.chance.between(0, thaw), () => {
        if (this.isCutFromPlatform) return;
        const tell = (outcome: DutyOutcome): void => this.mine(() => told(outcome))();
        this.#shape.platform.arrived(call, tell);
      });
      world.after(
        call.patience,
        this.mine(() => told("lost")),
      );
    };
    world.after(connects, this.mine(send));
  }
}

function splitTicket(ticket: string): [life: number, own: string] {
  const cut = ticket.indexOf(":");
  return [Number(ticket.slice(0, cut)), ticket.slice(cut + 1)];
}
