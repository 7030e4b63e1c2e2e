import { metrics, monotonic, type Log } from "@chutewick/shell";
import { constants, type DutyBounds } from "@chutewick/parts";
import type { ControlOutcome } from "../control-messages.js";
import type { ControlCommand } from "../machine.js";
import type { ScalingFacts } from "../scaling/scaling-facts.js";
import type { DueAct } from "./duty-acts.js";
import type { DutyCall, DutyOutcome, DutyOutput } from "./duty-outputs.js";
import { DutyPerformer } from "./duty-performer.js";
import { dutyStatus, type SubjectStatus } from "./duty-status.js";
import type { DutyRecords } from "./duty-records.js";
import { PlannedScaling } from "./planned-scaling.js";
import { ScalingOrders } from "./scaling-orders.js";
import { UsageReports, type DutySource, type TrueTime, type UsageCounts } from "./usage-reports.js";

/** How the platform is called; an adapter speaks its language. */
export interface DutyPlatform {
  /** Makes a call, unless `sendBy` is over before its first byte goes out; never rejects. */
  call(call: DutyCall): Promise<DutyOutcome>;
  /** Ends what is under way. */
  close(): void;
}

/** What a control machine that may win rounds knows of the group. */
export interface DutyGround {
  readonly place: number;
  readonly members: number;
  readonly records: DutyRecords;
  /** Whether there is a configuration: before there is one, nothing is served. */
  readonly isConfigured: boolean;
}

/** What the service is made of. */
export interface DutyServiceOptions {
  readonly name: string;
  readonly bounds: DutyBounds;
  readonly platform: DutyPlatform;
  readonly log: Log;
  /** Usage as this machine knows it, and the time by which its windows are told apart. */
  readonly counts: UsageCounts;
  readonly time: TrueTime;
  /** What the number of runners goes by, as this machine knows it. */
  readonly scalingFacts: (now: number) => ScalingFacts;
  readonly inquire: (command: ControlCommand, told: (outcome: ControlOutcome) => void) => void;
}

/** Duties of a control process: the performer between the group and the platform (docs/design.md §14). */
export class DutyService {
  readonly #options: DutyServiceOptions;
  readonly #performer: DutyPerformer;
  readonly #usage: UsageReports;
  readonly #sources: DutySource[] = [];
  /** ms, monotonic. Since when this machine may win rounds without a break. */
  #groundSince: number | undefined;

  constructor(options: DutyServiceOptions) {
    this.#options = options;
    const { name, bounds, counts, time } = options;
    this.#performer = new DutyPerformer({ name, bounds, random: Math.random });
    this.#usage = new UsageReports(bounds, counts, time);
    if (bounds.kinds.includes("usage")) this.#sources.push(this.#usage);
    const planned = new PlannedScaling(options.scalingFacts);
    if (bounds.kinds.includes("scaling")) this.#sources.push(new ScalingOrders(bounds, planned));
  }

  /** Time passes; without ground, and until nodes had time to tell it their counts, this machine claims nothing. */
  beat(now: number, ground: DutyGround | undefined): void {
    this.#groundSince = ground === undefined ? undefined : (this.#groundSince ?? now);
    if (ground === undefined || now - this.#groundSince! < constants.dutySettles) return;
    if (ground.isConfigured) this.#usage.begin(now);
    const { place, members, records } = ground;
    const due = this.#due(now, records);
    this.#perform(this.#performer.beat({ now, place, members, records, due }));
  }

  #due(now: number, records: DutyRecords): DueAct[] {
    const due: DueAct[] = [];
    for (const source of this.#sources) due.push(...source.due(now, records));
    return due;
  }

  /** For operators. */
  status(now: number, records: DutyRecords): Record<string, SubjectStatus> {
    return dutyStatus(records, this.#due(now, records), now);
  }

  close(): void {
    this.#options.platform.close();
  }

  #perform(outputs: readonly DutyOutput[]): void {
    for (const output of outputs) {
      if (output.kind === "inquire") this.#inquire(output.ticket, output.command);
      else void this.#call(output.ticket, output.call);
    }
  }

  #inquire(ticket: string, command: ControlCommand): void {
    const self = this;
    function told(outcome: ControlOutcome): void {
      self.#perform(self.#performer.inquired(ticket, outcome, monotonic()));
    }
    this.#options.inquire(command, told);
  }

  async #call(ticket: string, call: DutyCall): Promise<void> {
    const since = monotonic();
    const outcome = await this.#options.platform.call(call);
    const now = monotonic();
    metrics.noted(`duty call ${outcome}`);
    const { act, fence } = call;
    const took = Math.round(now - since);
    this.#options.log.info({ ...act, fence, outcome, took }, "a call of a duty");
    this.#perform(this.#performer.called(ticket, outcome, now));
  }
}
