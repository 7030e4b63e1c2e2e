/** Settings of a process, from a file and command-line flags (docs/design.md §10.1). */
import { readFileSync } from "node:fs";
import { isIP } from "node:net";
import {
  outcome,
  policy,
  type Bounds,
  type DutyBounds,
  type Outcome,
  type Policy,
} from "@chutewick/parts";
import { z } from "zod";

/** Whether a text is an IPv4 address with a port. */
function isAddress(text: string): boolean {
  const separator = text.lastIndexOf(":");
  const port = Number(text.slice(separator + 1));
  return (
    separator > 0 &&
    isIP(text.slice(0, separator)) === 4 &&
    Number.isInteger(port) &&
    port > 0 &&
    port < 65_536
  );
}

const address = z
  .string()
  .refine(isAddress, { error: "must be an IP number and a port, such as 127.0.0.1:7001" });

function areDifferent(texts: readonly string[]): boolean {
  return new Set(texts).size === texts.length;
}

const nonNegative = z.number().min(0);

const boundsSchema = z
  .strictObject({
    reportsEvery: nonNegative,
    contactWithin: nonNegative,
    acknowledgeWithin: nonNegative,
    drainWithin: nonNegative,
    applyWithin: nonNegative,
    cancelWithin: nonNegative,
    stopWithin: nonNegative,
    syncWithin: nonNegative,
    recoverWithin: nonNegative,
    losses: z.strictObject({
      machines: nonNegative,
      zones: nonNegative.default(0),
      regions: nonNegative.default(0),
    }),
    memory: nonNegative.default(512),
    descriptors: nonNegative.default(1_024),
    disk: nonNegative.default(0),
    goesOnAlone: z.boolean().default(false),
    usageWindow: z.number().positive().optional(),
  })
  .superRefine(checkBounds);

const dutiesSchema = z
  .strictObject({
    kinds: z.array(z.enum(["usage", "scaling"])),
    callsPerSecond: z.number().positive(),
    lease: nonNegative,
    thawSlack: nonNegative.default(0),
    window: z.number().positive(),
    reportWithin: z.number().positive(),
  })
  .refine(isLeaseLongerThanSlack, {
    error: "the lease must be longer than the slack of a thaw",
    path: ["lease"],
  });

function isLeaseLongerThanSlack({ lease, thawSlack }: DutyBounds): boolean {
  return lease > thawSlack;
}

/** Reports the reason why a combination of bounds is impossible as an issue of the settings. */
function checkBounds(value: Bounds, context: { addIssue(issue: string): void }): void {
  const derived = policy.from(value);
  if (!derived.ok) context.addIssue(derived.reason);
}

const settingsSchema = z.strictObject({
  name: z
    .string()
    .regex(/^[a-z0-9][a-z0-9-]{0,62}$/, { error: "must be lower-case letters, digits and dashes" }),
  zone: z
    .string()
    .regex(/^[a-z0-9][a-z0-9-]{0,62}$/, { error: "must be lower-case letters, digits and dashes" }),
  /** Address at which other processes of the deployment reach this one. */
  wire: address,
  /** Address to listen on, if it differs from `wire`. */
  wireListen: address.optional(),
  /** Address for callers, runners and operators. */
  http: address,
  /** Addresses of control machines to contact first. */
  seeds: z
    .array(address)
    .min(1, { error: "must be addresses of control machines" })
    .refine(areDifferent, { error: "must be different addresses" }),
  /** True only at the very first start, with empty folders; a machine that joins empty later founds no group (docs/design.md §2.2). */
  founding: z.boolean().default(true),
  /** Bounds specific to the deployment (docs/design.md §13.3). */
  bounds: boundsSchema.optional(),
  /** Duties that this deployment performs at its platform (docs/design.md §14). */
  duties: dutiesSchema.optional(),
  /** Data folder; access nodes have none. */
  data: z.string().min(1).optional(),
  logLevel: z.enum(["trace", "debug", "info", "warn", "error", "fatal"]).default("info"),
});

/** Settings of a process: addresses, zone, seeds, data folder and more. */
export type Settings = z.infer<typeof settingsSchema>;

/** Settings from the command line; each overrides the one in the file. */
export interface Flags {
  readonly settings?: string;
  readonly name?: string;
  readonly zone?: string;
  readonly wire?: string;
  readonly wireListen?: string;
  readonly http?: string;
  readonly seeds?: string;
  readonly data?: string;
  readonly logLevel?: string;
}

function readFile(path: string): Outcome<Record<string, unknown>> {
  try {
    const value: unknown = JSON.parse(readFileSync(path, "utf8"));
    if (typeof value !== "object" || value === null || Array.isArray(value))
      return outcome.failure(`${path}: must hold one JSON object`);
    return outcome.success(value as Record<string, unknown>);
  } catch (error) {
    return outcome.failure(`${path}: ${(error as Error).message}`);
  }
}

/** Reads and validates the settings file and the flags; flags override the file. */
function read(flags: Flags, needsData: boolean): Outcome<Settings> {
  let values: Record<string, unknown> = {};
  if (flags.settings !== undefined) {
    const file = readFile(flags.settings);
    if (!file.ok) return file;
    values = file.value;
  }
  const { settings: _file, seeds, ...rest } = flags;
  for (const [key, value] of Object.entries(rest)) if (value !== undefined) values[key] = value;
  if (seeds !== undefined) values["seeds"] = seeds.split(",");
  const checked = check(values);
  if (checked.ok && needsData && checked.value.data === undefined)
    return outcome.failure("data: is needed here");
  return checked;
}

/** Path and reason of each issue, separated by semicolons. */
export function explain(error: z.ZodError): string {
  const lines: string[] = [];
  for (const issue of error.issues)
    lines.push(`${issue.path.length === 0 ? "(whole)" : issue.path.join(".")}: ${issue.message}`);
  return lines.join("; ");
}

/** The policy derived from the bounds of the deployment, or the default policy. */
function policyOf(checked: Settings): Policy {
  if (checked.bounds === undefined) return policy.defaults;
  const derived = policy.from(checked.bounds);
  return derived.ok ? derived.value : policy.defaults;
}

/** Validates settings, wherever they come from. */
function check(input: unknown): Outcome<Settings> {
  const checked = settingsSchema.safeParse(input);
  return checked.success ? outcome.success(checked.data) : outcome.failure(explain(checked.error));
}

export const settings = { read, check, policyOf };
