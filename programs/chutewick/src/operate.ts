import { readFileSync } from "node:fs";
import { configuration } from "@chutewick/control";
import { outcome, type Outcome } from "@chutewick/parts";
import {
  command,
  multioption,
  array,
  number,
  option,
  optional,
  positional,
  restPositionals,
  string,
  subcommands,
} from "cmd-ts";
import { request } from "undici";

/** What operators do, over HTTP with any control machine (docs/operating.md). */
const controlFlag = option({
  type: string,
  long: "control",
  env: "CHUTEWICK_CONTROL",
  description: "control machines, IP:port over HTTP, with commas between",
});
const markFlag = option({
  type: optional(number),
  long: "mark",
  description: "only if the configuration still has this mark",
});
const filePosition = positional({
  type: string,
  displayName: "file",
  description: "JSON file, or - for standard input",
});

function fail(code: number, text: string): never {
  process.stderr.write(`chutewick: ${text}\n`);
  process.exit(code);
}

function print(value: unknown): void {
  process.stdout.write(`${JSON.stringify(value, undefined, 2)}\n`);
}

function readInput(file: string): unknown {
  let text: string;
  try {
    text = readFileSync(file === "-" ? 0 : file, "utf8");
  } catch (error) {
    return fail(2, `${file}: ${(error as Error).message}`);
  }
  try {
    return JSON.parse(text);
  } catch (error) {
    return fail(2, `${file}: is not JSON: ${(error as Error).message}`);
  }
}

interface Told {
  readonly status: number;
  readonly body: Record<string, unknown>;
}

/** Goes to the next control machine only if this one surely did not take it. */
async function ask(
  control: string,
  method: "GET" | "PUT" | "PATCH" | "POST" | "DELETE",
  path: string,
  body?: unknown,
  mark?: number,
): Promise<Outcome<Told>> {
  let reason = "no control machine was named";
  for (const address of control.split(",")) {
    try {
      const told = await request(`http://${address}${path}`, {
        method,
        headersTimeout: 10_000,
        bodyTimeout: 10_000,
        headers: {
          "content-type": "application/json",
          ...(mark === undefined ? {} : { "if-match": `"${mark}"` }),
        },
        ...(body === undefined ? {} : { body: JSON.stringify(body) }),
      });
      const read = (await told.body.json()) as Record<string, unknown>;
      if (told.statusCode === 503) {
        reason = String(read["reason"]);
        continue;
      }
      return outcome.success({ status: told.statusCode, body: read });
    } catch (error) {
      const { code, message } = error as Error & { code?: string };
      reason = `${address}: ${message}`;
      if (code !== "ECONNREFUSED" && code !== "UND_ERR_CONNECT_TIMEOUT" && method !== "GET")
        return outcome.failure(`${reason}; whether it took effect is not known`);
    }
  }
  return outcome.failure(reason);
}

/** Exit codes: 0 done, 1 could not be done or is not known, 2 bad input, 3 refused, 4 lost to another change. */
async function carry(
  control: string,
  method: "GET" | "PUT" | "PATCH" | "POST" | "DELETE",
  path: string,
  body?: unknown,
  mark?: number,
): Promise<void> {
  const told = await ask(control, method, path, body, mark);
  if (!told.ok) fail(1, told.reason);
  print(told.value.body);
  const { status } = told.value;
  if (status >= 400)
    fail(
      status === 409 ? 4 : status === 422 || status === 400 || status === 404 ? 3 : 1,
      String(told.value.body["reason"]),
    );
}

function check(given: { file: string }): void {
  const checked = configuration.check(readInput(given.file));
  if (!checked.ok) fail(3, checked.reason);
  print({ good: true, warnings: configuration.warnings(checked.value) });
}

function get(given: { control: string }): Promise<void> {
  return carry(given.control, "GET", "/configuration");
}

function put(given: { control: string; file: string; mark: number | undefined }): Promise<void> {
  return carry(given.control, "PUT", "/configuration", readInput(given.file), given.mark);
}

function patch(given: { control: string; file: string; mark: number | undefined }): Promise<void> {
  return carry(given.control, "PATCH", "/configuration", readInput(given.file), given.mark);
}

export const configurationCommands = subcommands({
  name: "configuration",
  cmds: {
    check: command({
      name: "check",
      description: "check a file without entering it",
      args: { file: filePosition },
      handler: check,
    }),
    get: command({
      name: "get",
      description: "the configuration in force and its mark",
      args: { control: controlFlag },
      handler: get,
    }),
    put: command({
      name: "put",
      description: "enter a whole configuration",
      args: { control: controlFlag, file: filePosition, mark: markFlag },
      handler: put,
    }),
    patch: command({
      name: "patch",
      description: "enter a small change; null takes a key away",
      args: { control: controlFlag, file: filePosition, mark: markFlag },
      handler: patch,
    }),
  },
});

function label(given: {
  control: string;
  kind: string;
  name: string;
  labels: string[];
  mark: number | undefined;
}): Promise<void> {
  const [model, adapter] =
    given.kind === "adapter" ? given.name.split(".") : [given.name, undefined];
  if (given.kind === "adapter" && (adapter === undefined || model === ""))
    fail(2, `${given.name}: an adapter is named model.adapter`);
  if (given.kind !== "way" && given.kind !== "model" && given.kind !== "adapter")
    fail(2, "labels are put on a way, a model or an adapter; runners and lots bring their own");
  const labels: Record<string, string | null> = {};
  for (const text of given.labels) {
    const cut = text.indexOf("=");
    if (cut > 0) labels[text.slice(0, cut)] = text.slice(cut + 1);
    else if (text.endsWith("-") && text.length > 1) labels[text.slice(0, -1)] = null;
    else fail(2, `${text}: must be key=value, or key- to take it away`);
  }
  const change =
    adapter === undefined
      ? { [`${given.kind}s`]: { [given.name]: { labels } } }
      : { models: { [model]: { adapterLabels: { [adapter]: labels } } } };
  return carry(given.control, "PATCH", "/configuration", change, given.mark);
}

export const labelCommand = command({
  name: "label",
  description:
    "label a way, a model or an adapter (model.adapter): key=value, or key- to take a label away",
  args: {
    control: controlFlag,
    mark: markFlag,
    kind: positional({ type: string, displayName: "way|model|adapter" }),
    name: positional({ type: string, displayName: "name" }),
    labels: restPositionals({ type: string, displayName: "key=value" }),
  },
  handler: label,
});

/** key=value, key=one,other, key or !key */
function readSelector(text: string): unknown {
  const cut = text.indexOf("=");
  if (cut > 0) {
    const values = text.slice(cut + 1).split(",");
    return values.length === 1
      ? { label: text.slice(0, cut), equals: values[0] }
      : { label: text.slice(0, cut), in: values };
  }
  return text.startsWith("!")
    ? { label: text.slice(1), exists: false }
    : { label: text, exists: true };
}

interface SeasonGiven {
  control: string;
  start: string;
  end: string;
  select: string[];
  runners: string[];
  waiting: number;
  bucket: string | undefined;
  calendar: string | undefined;
  zone: string | undefined;
  lasts: number | undefined;
}

function seasonOf(given: SeasonGiven): Record<string, unknown> {
  const select: unknown[] = [];
  for (const text of given.select) select.push(readSelector(text));
  const runners: unknown[] = [];
  for (const text of given.runners) runners.push(readSelector(text));
  const season: Record<string, unknown> = {
    start: given.start,
    end: given.end,
    select,
    runners,
    waiting: given.waiting,
  };
  for (const [key, value] of Object.entries({
    calendar: given.calendar,
    zone: given.zone,
    lastsMinutes: given.lasts,
  }))
    if (value !== undefined) season[key] = value;
  if (given.bucket !== undefined) {
    const [tokens, windowSeconds, capacity] = given.bucket.split("/").map(Number);
    season["bucket"] = { tokens, windowSeconds, capacity };
  }
  return season;
}

function seasonPut(given: SeasonGiven & { mark: number | undefined; name: string }): Promise<void> {
  return carry(
    given.control,
    "PATCH",
    "/configuration",
    { seasons: { [given.name]: seasonOf(given) } },
    given.mark,
  );
}

function seasonRemove(given: {
  control: string;
  mark: number | undefined;
  name: string;
}): Promise<void> {
  return carry(
    given.control,
    "PATCH",
    "/configuration",
    { seasons: { [given.name]: null } },
    given.mark,
  );
}

function seasonExplain(given: {
  control: string;
  way: string | undefined;
  model: string | undefined;
  adapter: string | undefined;
  labels: string[];
}): Promise<void> {
  const query = new URLSearchParams();
  for (const [key, value] of Object.entries({
    way: given.way,
    model: given.model,
    adapter: given.adapter,
  }))
    if (value !== undefined) query.set(key, value);
  if (given.labels.length > 0) query.set("labels", given.labels.join(","));
  return carry(given.control, "GET", `/seasons/explain?${query.toString()}`);
}

function seasonPreview(given: SeasonGiven): Promise<void> {
  return carry(given.control, "POST", "/seasons/preview", seasonOf(given));
}

const seasonName = positional({ type: string, displayName: "name" });

const seasonFlags = {
  control: controlFlag,
  start: option({ type: string, long: "start", description: "date and time with zone" }),
  end: option({ type: string, long: "end" }),
  select: multioption({
    type: array(string),
    long: "select",
    description:
      "which lots: key=value, key=one,other, key or !key over labels of model, adapter, way and lot",
  }),
  runners: multioption({
    type: array(string),
    long: "runners",
    description: "which runners its lots may use, by their labels",
  }),
  waiting: option({
    type: number,
    long: "waiting",
    description: "items that may wait, over all selected queues",
  }),
  bucket: option({
    type: optional(string),
    long: "bucket",
    description: "tokens/windowSeconds/capacity",
  }),
  calendar: option({
    type: optional(string),
    long: "calendar",
    description: "opens again and again: minute hour day month weekday",
  }),
  zone: option({
    type: optional(string),
    long: "zone",
    description: "time zone of the calendar, such as America/Lima",
  }),
  lasts: option({
    type: optional(number),
    long: "lasts",
    description: "minutes that it is open each time",
  }),
};

export const seasonCommands = subcommands({
  name: "season",
  cmds: {
    put: command({
      name: "put",
      description: "enter or change a season",
      handler: seasonPut,
      args: { ...seasonFlags, mark: markFlag, name: seasonName },
    }),
    preview: command({
      name: "preview",
      description: "what a season would select, without entering it",
      handler: seasonPreview,
      args: seasonFlags,
    }),
    remove: command({
      name: "remove",
      description: "take a season away",
      args: { control: controlFlag, mark: markFlag, name: seasonName },
      handler: seasonRemove,
    }),
    explain: command({
      name: "explain",
      description: "what holds now for lots of a way, or of a model or adapter, and why",
      handler: seasonExplain,
      args: {
        control: controlFlag,
        way: option({ type: optional(string), long: "way" }),
        model: option({ type: optional(string), long: "model" }),
        adapter: option({ type: optional(string), long: "adapter" }),
        labels: multioption({
          type: array(string),
          long: "label",
          description: "a label that the lot brings, key=value",
        }),
      },
    }),
  },
});

function empty(given: { control: string; identity: string }): Promise<void> {
  return carry(given.control, "POST", `/machines/${encodeURIComponent(given.identity)}/emptying`);
}

function keep(given: { control: string; identity: string }): Promise<void> {
  return carry(given.control, "DELETE", `/machines/${encodeURIComponent(given.identity)}/emptying`);
}

const identityPosition = positional({ type: string, displayName: "identity" });

export const machineCommands = subcommands({
  name: "machine",
  cmds: {
    empty: command({
      name: "empty",
      description: "move all queues off a storage machine",
      args: { control: controlFlag, identity: identityPosition },
      handler: empty,
    }),
    keep: command({
      name: "keep",
      description: "call the emptying off",
      args: { control: controlFlag, identity: identityPosition },
      handler: keep,
    }),
  },
});

/** Of every process that control knows, and of the control machines named. */
async function readMetrics(given: { control: string; node: string | undefined }): Promise<void> {
  const told = await ask(given.control, "GET", "/status");
  if (!told.ok) fail(1, told.reason);
  const addresses = new Map<string, string>();
  for (const address of given.control.split(",")) addresses.set(`control ${address}`, address);
  for (const { identity, http } of told.value.body["nodes"] as { identity: string; http: string }[])
    addresses.set(identity, http);
  const all: Record<string, unknown> = {};
  for (const [name, address] of addresses) {
    if (given.node !== undefined && !name.includes(given.node)) continue;
    const read = await ask(address, "GET", "/metrics");
    all[name] = read.ok ? read.value.body : { trouble: "unreachable", reason: read.reason };
  }
  if (Object.keys(all).length === 0) fail(3, `${given.node}: no process is named so`);
  print(all);
}

export const metricsCommand = command({
  name: "metrics",
  description:
    "counts and histograms of the whole fleet, or of the processes whose name has a text in it",
  args: { control: controlFlag, node: option({ type: optional(string), long: "node" }) },
  handler: readMetrics,
});

function status(given: { control: string }): Promise<void> {
  return carry(given.control, "GET", "/status");
}

export const statusCommand = command({
  name: "status",
  description: "members, view, queues, runners",
  args: { control: controlFlag },
  handler: status,
});
