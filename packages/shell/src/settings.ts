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

/** An IPv4 number and a port. */
function isAddress(text: string): boolean {
  const cut = text.lastIndexOf(":");
  const port = Number(text.slice(cut + 1));
  return (
    cut > 0 && isIP(text.slice(0, cut)) === 4 && Number.isInteger(port) && port > 0 && port < 65_536
  );
}

const address = z
  .string()
  .refine(isAddress, { error: "must be an IP number and a port, such as 127.0.0.1:7001" });

function areDifferent(texts: readonly string[]): boolean {
  return new Set(texts).size === texts.length;
}

const span = z.number().min(0);

const bounds = z
  .strictObject({
    reportsEvery: span,
    contactWithin: span,
    acknowledgeWithin: span,
    drainWithin: span,
    applyWithin: span,
    cancelWithin: span,
    stopWithin: span,
    syncWithin: span,
    recoverWithin: span,
    losses: z.strictObject({ machines: span, zones: span.default(0), regions: span.default(0) }),
    memory: span.default(512),
    descriptors: span.default(1_024),
    disk: span.default(0),
    goesOnAlone: z.boolean().default(false),
    usageWindow: z.number().positive().optional(),
  })
  .superRefine(isHeld);

const duties = z
  .strictObject({
    kinds: z.array(z.enum(["usage", "scaling"])),
    callsPerSecond: z.number().positive(),
    lease: span,
    thawSlack: span.default(0),
    window: z.number().positive(),
    reportWithin: z.number().positive(),
  })
  .refine(hasLease, {
    error: "the lease must be longer than the slack of a thaw",
    path: ["lease"],
  });

function hasLease({ lease, thawSlack }: DutyBounds): boolean {
  return lease > thawSlack;
}

/** The reasons for which a combination of bounds cannot hold, as findings of the settings. */
function isHeld(value: Bounds, context: { addIssue(issue: string): void }): void {
  const worked = policy.from(value);
  if (!worked.ok) context.addIssue(worked.reason);
}

const shape = z.strictObject({
  name: z
    .string()
    .regex(/^[a-z0-9][a-z0-9-]{0,62}$/, { error: "must be lower-case letters, digits and dashes" }),
  zone: z
    .string()
    .regex(/^[a-z0-9][a-z0-9-]{0,62}$/, { error: "must be lower-case letters, digits and dashes" }),
  /** Where other processes of the fleet reach this one. */
  wire: address,
  /** Where it listens, if something stands between. */
  wireListen: address.optional(),
  /** Where callers, runners or operators reach it. */
  http: address,
  seeds: z
    .array(address)
    .min(1, { error: "must be addresses of control machines" })
    .refine(areDifferent, { error: "must be different addresses" }),
  /** True only at the very first start, with empty folders: a blank machine that comes later founds nothing (§2.2). */
  founding: z.boolean().default(true),
  /** What the deployment tells of itself, where it has bounds of its own (§13.3). */
  bounds: bounds.optional(),
  /** Duties at the deployment's platform, where it has any (§14). */
  duties: duties.optional(),
  /** Data folder; access nodes have none. */
  data: z.string().min(1).optional(),
  logLevel: z.enum(["trace", "debug", "info", "warn", "error", "fatal"]).default("info"),
});

/** Where a process stands: addresses, zone, seeds, data folder (docs/design.md §10.1). */
export type Settings = z.infer<typeof shape>;

/** Settings as given on the command line; each overrides the file's. */
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
      return outcome.bad(`${path}: must hold one JSON object`);
    return outcome.good(value as Record<string, unknown>);
  } catch (error) {
    return outcome.bad(`${path}: ${(error as Error).message}`);
  }
}

/** Flags win over the file; everything is checked before anything starts. */
function read(flags: Flags, needsData: boolean): Outcome<Settings> {
  let held: Record<string, unknown> = {};
  if (flags.settings !== undefined) {
    const file = readFile(flags.settings);
    if (!file.ok) return file;
    held = file.value;
  }
  const { settings: _file, seeds, ...rest } = flags;
  for (const [key, value] of Object.entries(rest)) if (value !== undefined) held[key] = value;
  if (seeds !== undefined) held["seeds"] = seeds.split(",");
  const checked = check(held);
  if (checked.ok && needsData && checked.value.data === undefined)
    return outcome.bad("data: is needed here");
  return checked;
}

/** One line with path and reason for each finding. */
export function explain(error: z.ZodError): string {
  const lines: string[] = [];
  for (const issue of error.issues)
    lines.push(`${issue.path.length === 0 ? "(whole)" : issue.path.join(".")}: ${issue.message}`);
  return lines.join("; ");
}

/** What holds here: from the deployment's bounds, or the usual. */
function policyOf(held: Settings): Policy {
  if (held.bounds === undefined) return policy.usual;
  const worked = policy.from(held.bounds);
  return worked.ok ? worked.value : policy.usual;
}

/** Settings that come from elsewhere than a file of our own: checked in the same way. */
function check(input: unknown): Outcome<Settings> {
  const checked = shape.safeParse(input);
  return checked.success ? outcome.good(checked.data) : outcome.bad(explain(checked.error));
}

export const settings = { read, check, policyOf };
