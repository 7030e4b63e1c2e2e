import { DutyRecords, type DutyCommandOutput } from "@chutewick/control";
import type { DutyBounds } from "@chutewick/parts";
import { Machine, type World } from "../world.js";
import type { AskMessage, DutyGroup, RecordsMessage, ToldMessage } from "./duty-group.js";
import { DutyHost } from "./duty-host.js";
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

/** Share of the commands that come twice, and ms by which the second one is later at most. */
const twiceShare = 0.05;
const twiceLater = 8_000;
/** ms. A command whose outcome is not told is given up, as the product does. */
const inquiryPatience = 6_000;

/** A control machine of the model of duties. */
export class DutyMachine extends Machine {
  isCutFromPlatform = false;
  /** ms by which the wall clock of this machine alone was stepped. */
  wallStep = 0;
  readonly #shape: DutyMachineShape;
  #records = new DutyRecords();
  #place = -1;
  #host!: DutyHost;

  constructor(world: World, shape: DutyMachineShape) {
    super(world, shape.name, shape.name);
    this.#shape = shape;
  }

  protected begin(): void {
    const { bounds, platform, group } = this.#shape;
    this.#records = new DutyRecords();
    this.#place = -1;
    this.#host = new DutyHost(this, {
      bounds,
      platform,
      inquire: (inquiry) => this.#ask(inquiry),
      sent: (call) => group.sent(call),
      isCut: () => this.isCutFromPlatform,
      time: () => this.world.now + this.wallStep,
    });
  }

  protected strike(): void {
    const { place, members } = this.#shape;
    this.#host.beat({ place, members, records: this.#records });
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
    if (life === this.life) this.#host.inquired(own, outcome);
  }

  #ask({ ticket, command }: DutyCommandOutput): void {
    const { world } = this;
    const message: AskMessage = { kind: "ask", ticket: `${this.life}:${ticket}`, command };
    const send = (): void => world.send(this.address, "group", message);
    send();
    if (world.chance.happens(twiceShare)) world.after(world.chance.between(0, twiceLater), send);
    const giveUp = (): void => this.#host.inquired(ticket, { kind: "unknown" });
    world.after(inquiryPatience, this.mine(giveUp));
  }
}

function splitTicket(ticket: string): [life: number, own: string] {
  const cut = ticket.indexOf(":");
  return [Number(ticket.slice(0, cut)), ticket.slice(cut + 1)];
}
