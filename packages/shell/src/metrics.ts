/** Counters and histograms of one process, reported as JSON; times are in seconds (docs/design.md §11). */
import type { ServerResponse } from "node:http";
import { constants } from "@chutewick/parts";
import { Counter, Histogram, Registry } from "prom-client";

const registry = new Registry();
const registers = [registry];

const buckets = [...constants.durationBucketsSeconds];

const results = new Counter({
  name: "results_total",
  help: "HTTP responses by event, status and error code",
  labelNames: ["event", "status", "trouble"],
  registers,
});
const times = new Histogram({
  name: "first_result_seconds",
  help: "time from the arrival of a request to the first byte of its response",
  labelNames: ["event"],
  buckets,
  registers,
});
const waits = new Histogram({
  name: "wait_told_seconds",
  help: "retry delays sent to callers",
  labelNames: ["trouble"],
  buckets: [...constants.waitBucketsSeconds],
  registers,
});
const syncs = new Histogram({
  name: "sync_seconds",
  help: "duration of a synced transaction of the data folder",
  buckets,
  registers,
});
const tickDelays = new Histogram({
  name: "beat_late_seconds",
  help: "delay of a tick beyond its due time, because the process was busy or paused",
  buckets,
  registers,
});
const notes = new Counter({
  name: "notes_total",
  help: "events noted by the cores, such as new views and revoked claims",
  labelNames: ["text"],
  registers,
});
const changes = new Counter({
  name: "changes_total",
  help: "requests of operators and nodes to control, by outcome",
  labelNames: ["outcome"],
  registers,
});

interface StartedExchange {
  readonly event: string;
  readonly at: number;
}

const startedExchanges = new WeakMap<ServerResponse, StartedExchange>();

/** Records the start of an HTTP exchange; the time to its first byte is measured from here. */
function arrived(response: ServerResponse, event: string): void {
  startedExchanges.set(response, { event, at: performance.now() });
}

/** Records a response; must be called once, when its first byte is sent. */
function resulted(response: ServerResponse, status: number, trouble = ""): void {
  const exchange = startedExchanges.get(response);
  startedExchanges.delete(response);
  const event = exchange?.event ?? "none";
  results.inc({ event, status: String(status), trouble });
  if (exchange !== undefined) times.observe({ event }, (performance.now() - exchange.at) / 1_000);
}

/** Records a retry delay in seconds that was sent with an error. */
function retryAfterSent(trouble: string, seconds: number): void {
  waits.observe({ trouble }, seconds);
}

/** Records the duration of one synced transaction. */
function committed(milliseconds: number): void {
  syncs.observe(milliseconds / 1_000);
}

/** Records a tick that came so many ms after it was due. */
function tickStarted(lateBy: number): void {
  tickDelays.observe(Math.max(0, lateBy) / 1_000);
}

/** Counts an event noted by a core, by its text. */
function noted(text: string): void {
  notes.inc({ text });
}

/** Counts a request to control by its outcome. */
function changed(outcome: string): void {
  changes.inc({ outcome });
}

/** One value of the registry; the label `le` is the upper bound of a histogram bucket. */
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

/** Names a series by its non-empty labels other than `le`. */
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

/** Reads all metrics: counters as numbers; histograms as count, sum and the count within each bound; gauges as given by the caller. */
async function read(gauges: Readonly<Record<string, unknown>>): Promise<Record<string, unknown>> {
  const figures: Record<string, unknown> = {};
  for (const metric of await registry.getMetricsAsJSON()) {
    const samples = metric.values as Sample[];
    figures[metric.name] =
      String(metric.type) === "histogram" ? histogramSeries(samples) : plainSeries(samples);
  }
  return { ...figures, ...gauges };
}

export const metrics = {
  arrived,
  resulted,
  retryAfterSent,
  committed,
  tickStarted,
  noted,
  changed,
  read,
};
