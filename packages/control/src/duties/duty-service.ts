/** Performs the duties of a control process, with I/O (docs/design.md §14). */
import { metrics, monotonicNow, type Log } from "@chutewick/shell";
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
import {
  UsageReports,
  type DutySource,
  type AgreedClock,
  type UsageCounts,
} from "./usage-reports.js";

/** Client of the platform; an adapter implements its protocol. */
export interface DutyPlatform {
  /** Makes a call, unless `sendBy` has passed before its first byte is sent. The promise never rejects. */
  call(call: DutyCall): Promise<DutyOutcome>;
  /** Aborts the calls in flight. */
  close(): void;
}

/** What a control machine in quorum contact knows of the control group; only such a machine may win rounds. */
export interface DutyContext {
  /** Position of this machine in the view of the control group. */
  readonly place: number;
  readonly members: number;
  readonly records: DutyRecords;
  /** Whether a configuration is in force; before the first one, nothing is served. */
  readonly isConfigured: boolean;
}

/** Dependencies of the service. */
export interface DutyServiceOptions {
  readonly name: string;
  readonly bounds: DutyBounds;
  readonly platform: DutyPlatform;
  readonly log: Log;
  /** Usage as this machine knows it. */
  readonly counts: UsageCounts;
  /** The clock that divides time into usage windows. */
  readonly time: AgreedClock;
  /** The input of scaling decisions, as this machine knows it. */
  readonly scalingFacts: (now: number) => ScalingFacts;
  /** Runs a command at the head of the control chain. */
  readonly inquire: (command: ControlCommand, complete: (outcome: ControlOutcome) => void) => void;
}

/** Connects the performer of duties to the control group and to the platform. */
export class DutyService {
  readonly #options: DutyServiceOptions;
  readonly #performer: DutyPerformer;
  readonly #usage: UsageReports;
  readonly #sources: DutySource[] = [];
  /** Since when this machine may win rounds without interruption, in monotonic ms. */
  #eligibleSince: number | undefined;

  constructor(options: DutyServiceOptions) {
    this.#options = options;
    const { name, bounds, counts, time } = options;
    this.#performer = new DutyPerformer({ name, bounds, random: Math.random });
    this.#usage = new UsageReports(bounds, counts, time);
    if (bounds.kinds.includes("usage")) this.#sources.push(this.#usage);
    const planned = new PlannedScaling(options.scalingFacts);
    if (bounds.kinds.includes("scaling")) this.#sources.push(new ScalingOrders(bounds, planned));
  }

  /**
   * Advances the clock. This machine claims nothing while `context` is undefined, nor until nodes had time to report their usage
   * counts to it.
   */
  tick(now: number, context: DutyContext | undefined): void {
    this.#eligibleSince = context === undefined ? undefined : (this.#eligibleSince ?? now);
    if (context === undefined || now - this.#eligibleSince! < constants.dutyStartDelayMs) return;
    if (context.isConfigured) this.#usage.start(now);
    const { place, members, records } = context;
    const due = this.#due(now, records);
    this.#perform(this.#performer.tick({ now, place, members, records, due }));
  }

  #due(now: number, records: DutyRecords): DueAct[] {
    const due: DueAct[] = [];
    for (const source of this.#sources) due.push(...source.due(now, records));
    return due;
  }

  /** Status of all duties for operators. */
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
    function complete(outcome: ControlOutcome): void {
      self.#perform(self.#performer.handleCommandOutcome(ticket, outcome, monotonicNow()));
    }
    this.#options.inquire(command, complete);
  }

  async #call(ticket: string, call: DutyCall): Promise<void> {
    const since = monotonicNow();
    const outcome = await this.#options.platform.call(call);
    const now = monotonicNow();
    metrics.noted(`duty call ${outcome}`);
    const { act, fence } = call;
    const took = Math.round(now - since);
    this.#options.log.info({ ...act, fence, outcome, took }, "duty call finished");
    this.#perform(this.#performer.handleCallOutcome(ticket, outcome, now));
  }
}
