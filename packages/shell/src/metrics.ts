import type { ServerResponse } from "node:http";
import { constants } from "@chutewick/parts";
import { Counter, Histogram, Registry } from "prom-client";

/** Counts and histograms of one process, told as JSON (docs/design.md §11). Seconds throughout. */
const registry = new Registry();
const registers = [registry];

const buckets = [...constants.timeBounds];

const results = new Counter({
  name: "results_total",
  help: "results told over HTTP, by event, status and kind of trouble",
  labelNames: ["event", "status", "trouble"],
  registers,
});
const times = new Histogram({
  name: "first_result_seconds",
  help: "from an arrival to the first byte of its result",
  labelNames: ["event"],
  buckets,
  registers,
});
const waits = new Histogram({
  name: "wait_told_seconds",
  help: "when callers were told to come back",
  labelNames: ["trouble"],
  buckets: [...constants.waitBounds],
  registers,
});
const syncs = new Histogram({
  name: "sync_seconds",
  help: "one synced transaction of the data folder",
  buckets,
  registers,
});
const late = new Histogram({
  name: "beat_late_seconds",
  help: "how much later than due a beat came: this process was busy or slept",
  buckets,
  registers,
});
const notes = new Counter({
  name: "notes_total",
  help: "what the cores noted: views, claims taken back and the like",
  labelNames: ["text"],
  registers,
});
const changes = new Counter({
  name: "changes_total",
  help: "operators' and nodes' inquiries to control, by outcome",
  labelNames: ["outcome"],
  registers,
});

interface Begun {
  readonly event: string;
  readonly at: number;
}

const begun = new WeakMap<ServerResponse, Begun>();

/** An HTTP exchange begins: its time to the first byte counts from here. */
function arrived(response: ServerResponse, event: string): void {
  begun.set(response, { event, at: performance.now() });
}

/** Once for each result, as its first byte goes out. */
function resulted(response: ServerResponse, status: number, trouble = ""): void {
  const held = begun.get(response);
  begun.delete(response);
  const event = held?.event ?? "none";
  results.inc({ event, status: String(status), trouble });
  if (held !== undefined) times.observe({ event }, (performance.now() - held.at) / 1_000);
}

/** A wait in seconds was told with a refusal of this kind. */
function waitTold(trouble: string, seconds: number): void {
  waits.observe({ trouble }, seconds);
}

/** One synced transaction took this long. */
function synced(milliseconds: number): void {
  syncs.observe(milliseconds / 1_000);
}

/** A beat came so many ms after it was due. */
function beatCame(lateBy: number): void {
  late.observe(Math.max(0, lateBy) / 1_000);
}

/** Counts something that a core noted, by its text. */
function noted(text: string): void {
  notes.inc({ text });
}

/** Counts a request to control by its outcome. */
function changed(outcome: string): void {
  changes.inc({ outcome });
}

/** One number that the registry tells; `le` is the bound of a histogram's bucket. */
interface Sample {
  readonly value: number;
  readonly metricName?: string;
  readonly labels: Record<string, string | number>;
}

interface HistogramSeries {
  readonly within: Record<string, number>;
  count?: number;
  sum?: number;
}

/** A series is named by those of its labels that are set, `le` apart. */
function seriesName({ labels: { le: _bound, ...labels } }: Sample): string {
  const names: string[] = [];
  for (const [key, text] of Object.entries(labels)) if (text !== "") names.push(`${key}=${text}`);
  return names.join(",") || "all";
}

function plainSeries(samples: readonly Sample[]): Record<string, number> {
  const series: Record<string, number> = {};
  for (const sample of samples) series[seriesName(sample)] = sample.value;
  return series;
}

function histogramSeries(samples: readonly Sample[]): Record<string, HistogramSeries> {
  const series: Record<string, HistogramSeries> = {};
  for (const sample of samples) {
    const held = (series[seriesName(sample)] ??= { within: {} });
    const { le } = sample.labels;
    if (le !== undefined) held.within[String(le)] = sample.value;
    else if (sample.metricName?.endsWith("_sum") === true) held.sum = sample.value;
    else held.count = sample.value;
  }
  return series;
}

/** Counters as numbers, histograms as count, sum and the share within each bound; gauges as the caller gives them. */
async function read(gauges: Readonly<Record<string, unknown>>): Promise<Record<string, unknown>> {
  const told: Record<string, unknown> = {};
  for (const metric of await registry.getMetricsAsJSON()) {
    const samples = metric.values as Sample[];
    told[metric.name] =
      String(metric.type) === "histogram" ? histogramSeries(samples) : plainSeries(samples);
  }
  return { ...told, ...gauges };
}

export const metrics = { arrived, resulted, waitTold, synced, beatCame, noted, changed, read };
