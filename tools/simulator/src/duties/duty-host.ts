import {
  DutyPerformer,
  ScalingOrders,
  UsageReports,
  type DutyCall,
  type DutyCommandOutput,
  type DutyCommandOutcome,
  type DutyOutcome,
  type DutyOutput,
  type DutyRecords,
  type ScalingOrder,
} from "@chutewick/control";
import type { DutyBounds } from "@chutewick/parts";
import type { Machine } from "../world.js";
import type { DutyPlatform } from "./duty-platform.js";

/** What a machine that performs duties stands in. */
export interface DutyHostShape {
  readonly bounds: DutyBounds;
  readonly platform: DutyPlatform;
  /** Brings a command to the group; its outcome is to be told with `inquired`. */
  readonly inquire: (inquiry: DutyCommandOutput) => void;
  /** Told of each call as its first byte goes out. */
  readonly sent: (call: DutyCall) => void;
  /** Whether calls reach the platform. */
  readonly isCut: () => boolean;
  /** ms since 1970, as the machine has it. */
  readonly time: () => number;
}

/** ms. Opening of a connection to the platform takes so long at most, now and then. */
const slowConnect = 1_500;
/** Share of the sends that a freeze holds up. */
const heldShare = 0.05;
/** Share of the beats at which a machine wishes for another number of runners. */
const wishShare = 0.005;

/** One life of a machine that performs duties: the real performer and sources, with counts and wishes of its own. */
export class DutyHost {
  readonly #machine: Machine;
  readonly #shape: DutyHostShape;
  readonly #performer: DutyPerformer;
  readonly #usage: UsageReports;
  readonly #scaling: ScalingOrders;
  #wish = 1;

  constructor(machine: Machine, shape: DutyHostShape) {
    this.#machine = machine;
    this.#shape = shape;
    const { bounds } = shape;
    const { chance } = machine.world;
    this.#performer = new DutyPerformer({
      name: machine.name,
      bounds,
      random: () => chance.next(),
    });
    this.#usage = new UsageReports(bounds, { countsOf: () => this.#counts() }, { at: shape.time });
    this.#scaling = new ScalingOrders(bounds, { desired: () => this.#wishes() });
  }

  /** No two machines know the same counts, nor one machine twice. */
  #counts(): ReadonlyMap<string, number> {
    return new Map([["tenant", this.#machine.world.chance.below(1_000_000)]]);
  }

  #wishes(): ScalingOrder[] {
    const { chance } = this.#machine.world;
    if (chance.happens(wishShare)) this.#wish = 1 + chance.below(9);
    return [{ pool: "readers", zone: "north", desired: this.#wish }];
  }

  beat(ground: { place: number; members: number; records: DutyRecords }): void {
    const { now } = this.#machine;
    this.#usage.start(now);
    const due = [
      ...this.#usage.due(now, ground.records),
      ...this.#scaling.due(now, ground.records),
    ];
    this.#perform(this.#performer.tick({ now, ...ground, due }));
  }

  /** What became of a command. */
  inquired(ticket: string, outcome: DutyCommandOutcome): void {
    this.#perform(this.#performer.handleCommandOutcome(ticket, outcome, this.#machine.now));
  }

  #perform(outputs: readonly DutyOutput[]): void {
    for (const output of outputs) {
      if (output.kind === "inquire") this.#shape.inquire(output);
      else this.#call(output.ticket, output.call);
    }
  }

  /** As the adapter does: connects, looks at the clock, and sends in the same step. */
  #call(ticket: string, call: DutyCall): void {
    const { world } = this.#machine;
    const isSlow = world.chance.happens(this.#shape.platform.slowConnectShare);
    const connects = isSlow ? world.chance.between(0, slowConnect) : 0;
    let isTold = false;
    const told = (outcome: DutyOutcome): void => {
      if (isTold) return;
      isTold = true;
      this.#perform(this.#performer.handleCallOutcome(ticket, outcome, this.#machine.now));
    };
    const send = (): void => {
      if (this.#machine.now > call.sendBy) return told("unsent");
      this.#send(call, told);
    };
    world.after(connects, this.#machine.mine(send));
  }

  #send(call: DutyCall, told: (outcome: DutyOutcome) => void): void {
    const { world } = this.#machine;
    this.#shape.sent(call);
    const thaw = world.chance.happens(heldShare) ? this.#shape.bounds.thawSlack : 0;
    world.after(world.chance.between(0.3, 3) + world.chance.between(0, thaw), () => {
      if (this.#shape.isCut()) return;
      const tell = (outcome: DutyOutcome): void => this.#machine.mine(() => told(outcome))();
      this.#shape.platform.arrived(call, tell);
    });
    world.after(
      call.patience,
      this.#machine.mine(() => told("lost")),
    );
  }
}
