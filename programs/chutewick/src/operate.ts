/** Commands of operators, which call the HTTP API of any control machine (docs/operating.md). */
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

const controlFlag = option({
  type: string,
  long: "control",
  env: "CHUTEWICK_CONTROL",
  description: "control machines, IP:port over HTTP, with commas between",
});
const versionFlag = option({
  type: optional(number),
  long: "mark",
  description: "only if the configuration still has this mark",
});
const filePositional = positional({
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

/** Reply of a control machine or of another process. */
interface HttpReply {
  readonly status: number;
  readonly body: Record<string, unknown>;
}

/**
 * Sends a request to the listed control machines in turn until one answers. After a connection error the next machine is tried
 * only if the request cannot have taken effect or is a read; a reply with status 503 means that it took no effect.
 */
async function sendRequest(
  control: string,
  method: "GET" | "PUT" | "PATCH" | "POST" | "DELETE",
  path: string,
  body?: unknown,
  expectedVersion?: number,
): Promise<Outcome<HttpReply>> {
  let reason = "no control machine was named";
  for (const address of control.split(",")) {
    try {
      const response = await request(`http://${address}${path}`, {
        method,
        headersTimeout: 10_000,
        bodyTimeout: 10_000,
        headers: {
          "content-type": "application/json",
          ...(expectedVersion === undefined ? {} : { "if-match": `"${expectedVersion}"` }),
        },
        ...(body === undefined ? {} : { body: JSON.stringify(body) }),
      });
      const reply = (await response.body.json()) as Record<string, unknown>;
      if (response.statusCode === 503) {
        reason = String(reply["reason"]);
        continue;
      }
      return outcome.success({ status: response.statusCode, body: reply });
    } catch (error) {
      const { code, message } = error as Error & { code?: string };
      reason = `${address}: ${message}`;
      if (code !== "ECONNREFUSED" && code !== "UND_ERR_CONNECT_TIMEOUT" && method !== "GET")
        return outcome.failure(`${reason}; whether it took effect is not known`);
    }
  }
  return outcome.failure(reason);
}

/**
 * Sends a request and prints the reply. Exit codes: 0 success, 1 failure or unknown outcome, 2 invalid input, 3 rejected,
 * 4 conflict with another change.
 */
async function requestAndPrint(
  control: string,
  method: "GET" | "PUT" | "PATCH" | "POST" | "DELETE",
  path: string,
  body?: unknown,
  expectedVersion?: number,
): Promise<void> {
  const reply = await sendRequest(control, method, path, body, expectedVersion);
  if (!reply.ok) fail(1, reply.reason);
  print(reply.value.body);
  const { status } = reply.value;
  if (status >= 400)
    fail(
      status === 409 ? 4 : status === 422 || status === 400 || status === 404 ? 3 : 1,
      String(reply.value.body["reason"]),
    );
}

function checkFile(args: { file: string }): void {
  const validation = configuration.check(readInput(args.file));
  if (!validation.ok) fail(3, validation.reason);
  print({ good: true, warnings: configuration.warnings(validation.value) });
}

function getConfiguration(args: { control: string }): Promise<void> {
  return requestAndPrint(args.control, "GET", "/configuration");
}

function putConfiguration(args: {
  control: string;
  file: string;
  mark: number | undefined;
}): Promise<void> {
  return requestAndPrint(args.control, "PUT", "/configuration", readInput(args.file), args.mark);
}

function patchConfiguration(args: {
  control: string;
  file: string;
  mark: number | undefined;
}): Promise<void> {
  return requestAndPrint(args.control, "PATCH", "/configuration", readInput(args.file), args.mark);
}

export const configurationCommands = subcommands({
  name: "configuration",
  cmds: {
    check: command({
      name: "check",
      description: "check a file without entering it",
      args: { file: filePositional },
      handler: checkFile,
    }),
    get: command({
      name: "get",
      description: "the configuration in force and its mark",
      args: { control: controlFlag },
      handler: getConfiguration,
    }),
    put: command({
      name: "put",
      description: "enter a whole configuration",
      args: { control: controlFlag, file: filePositional, mark: versionFlag },
      handler: putConfiguration,
    }),
    patch: command({
      name: "patch",
      description: "enter a small change; null takes a key away",
      args: { control: controlFlag, file: filePositional, mark: versionFlag },
      handler: patchConfiguration,
    }),
  },
});

function changeLabels(args: {
  control: string;
  kind: string;
  name: string;
  labels: string[];
  mark: number | undefined;
}): Promise<void> {
  const [model, adapter] = args.kind === "adapter" ? args.name.split(".") : [args.name, undefined];
  if (args.kind === "adapter" && (adapter === undefined || model === ""))
    fail(2, `${args.name}: an adapter is named model.adapter`);
  if (args.kind !== "way" && args.kind !== "model" && args.kind !== "adapter")
    fail(2, "labels are put on a way, a model or an adapter; runners and lots bring their own");
  const labels: Record<string, string | null> = {};
  for (const text of args.labels) {
    const separator = text.indexOf("=");
    if (separator > 0) labels[text.slice(0, separator)] = text.slice(separator + 1);
    else if (text.endsWith("-") && text.length > 1) labels[text.slice(0, -1)] = null;
    else fail(2, `${text}: must be key=value, or key- to take it away`);
  }
  const change =
    adapter === undefined
      ? { [`${args.kind}s`]: { [args.name]: { labels } } }
      : { models: { [model]: { adapterLabels: { [adapter]: labels } } } };
  return requestAndPrint(args.control, "PATCH", "/configuration", change, args.mark);
}

export const labelCommand = command({
  name: "label",
  description:
    "label a way, a model or an adapter (model.adapter): key=value, or key- to take a label away",
  args: {
    control: controlFlag,
    mark: versionFlag,
    kind: positional({ type: string, displayName: "way|model|adapter" }),
    name: positional({ type: string, displayName: "name" }),
    labels: restPositionals({ type: string, displayName: "key=value" }),
  },
  handler: changeLabels,
});

/** Parses a label selector: `key=value`, `key=one,other`, `key` (label exists) or `!key` (label does not exist). */
function parseSelector(text: string): unknown {
  const separator = text.indexOf("=");
  if (separator > 0) {
    const values = text.slice(separator + 1).split(",");
    return values.length === 1
      ? { label: text.slice(0, separator), equals: values[0] }
      : { label: text.slice(0, separator), in: values };
  }
  return text.startsWith("!")
    ? { label: text.slice(1), exists: false }
    : { label: text, exists: true };
}

interface SeasonArguments {
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

function buildSeason(args: SeasonArguments): Record<string, unknown> {
  const select: unknown[] = [];
  for (const text of args.select) select.push(parseSelector(text));
  const runners: unknown[] = [];
  for (const text of args.runners) runners.push(parseSelector(text));
  const season: Record<string, unknown> = {
    start: args.start,
    end: args.end,
    select,
    runners,
    waiting: args.waiting,
  };
  for (const [key, value] of Object.entries({
    calendar: args.calendar,
    zone: args.zone,
    lastsMinutes: args.lasts,
  }))
    if (value !== undefined) season[key] = value;
  if (args.bucket !== undefined) {
    const [tokens, windowSeconds, capacity] = args.bucket.split("/").map(Number);
    season["bucket"] = { tokens, windowSeconds, capacity };
  }
  return season;
}

function putSeason(
  args: SeasonArguments & { mark: number | undefined; name: string },
): Promise<void> {
  return requestAndPrint(
    args.control,
    "PATCH",
    "/configuration",
    { seasons: { [args.name]: buildSeason(args) } },
    args.mark,
  );
}

function removeSeason(args: {
  control: string;
  mark: number | undefined;
  name: string;
}): Promise<void> {
  return requestAndPrint(
    args.control,
    "PATCH",
    "/configuration",
    { seasons: { [args.name]: null } },
    args.mark,
  );
}

function explainSeasons(args: {
  control: string;
  way: string | undefined;
  model: string | undefined;
  adapter: string | undefined;
  labels: string[];
}): Promise<void> {
  const query = new URLSearchParams();
  for (const [key, value] of Object.entries({
    way: args.way,
    model: args.model,
    adapter: args.adapter,
  }))
    if (value !== undefined) query.set(key, value);
  if (args.labels.length > 0) query.set("labels", args.labels.join(","));
  return requestAndPrint(args.control, "GET", `/seasons/explain?${query.toString()}`);
}

function previewSeason(args: SeasonArguments): Promise<void> {
  return requestAndPrint(args.control, "POST", "/seasons/preview", buildSeason(args));
}

const namePositional = positional({ type: string, displayName: "name" });

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
      handler: putSeason,
      args: { ...seasonFlags, mark: versionFlag, name: namePositional },
    }),
    preview: command({
      name: "preview",
      description: "what a season would select, without entering it",
      handler: previewSeason,
      args: seasonFlags,
    }),
    remove: command({
      name: "remove",
      description: "take a season away",
      args: { control: controlFlag, mark: versionFlag, name: namePositional },
      handler: removeSeason,
    }),
    explain: command({
      name: "explain",
      description: "what holds now for lots of a way, or of a model or adapter, and why",
      handler: explainSeasons,
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

function startDrain(args: { control: string; identity: string }): Promise<void> {
  return requestAndPrint(
    args.control,
    "POST",
    `/machines/${encodeURIComponent(args.identity)}/emptying`,
  );
}

function cancelDrain(args: { control: string; identity: string }): Promise<void> {
  return requestAndPrint(
    args.control,
    "DELETE",
    `/machines/${encodeURIComponent(args.identity)}/emptying`,
  );
}

const identityPositional = positional({ type: string, displayName: "identity" });

export const machineCommands = subcommands({
  name: "machine",
  cmds: {
    empty: command({
      name: "empty",
      description: "move all queues off a storage machine",
      args: { control: controlFlag, identity: identityPositional },
      handler: startDrain,
    }),
    keep: command({
      name: "keep",
      description: "call the emptying off",
      args: { control: controlFlag, identity: identityPositional },
      handler: cancelDrain,
    }),
  },
});

/** Prints the metrics of every process that is registered with control and of the given control machines. */
async function printMetrics(args: { control: string; node: string | undefined }): Promise<void> {
  const reply = await sendRequest(args.control, "GET", "/status");
  if (!reply.ok) fail(1, reply.reason);
  const addresses = new Map<string, string>();
  for (const address of args.control.split(",")) addresses.set(`control ${address}`, address);
  for (const { identity, http } of reply.value.body["nodes"] as {
    identity: string;
    http: string;
  }[])
    addresses.set(identity, http);
  const metricsByProcess: Record<string, unknown> = {};
  for (const [name, address] of addresses) {
    if (args.node !== undefined && !name.includes(args.node)) continue;
    const metrics = await sendRequest(address, "GET", "/metrics");
    metricsByProcess[name] = metrics.ok
      ? metrics.value.body
      : { trouble: "unreachable", reason: metrics.reason };
  }
  if (Object.keys(metricsByProcess).length === 0) fail(3, `${args.node}: no process is named so`);
  print(metricsByProcess);
}

export const metricsCommand = command({
  name: "metrics",
  description:
    "counts and histograms of the whole fleet, or of the processes whose name has a text in it",
  args: { control: controlFlag, node: option({ type: optional(string), long: "node" }) },
  handler: printMetrics,
});

function printStatus(args: { control: string }): Promise<void> {
  return requestAndPrint(args.control, "GET", "/status");
}

export const statusCommand = command({
  name: "status",
  description: "members, view, queues, runners",
  args: { control: controlFlag },
  handler: printStatus,
});
