import type { PassWork, ResultHead, RunnerDialect } from "./dialect.js";

/** How runners of the product itself are spoken to on passages (docs/design.md §13.2). */
const names = {
  inquiry: "chutewick-inquiry",
  runner: "chutewick-runner",
  patience: "chutewick-patience",
  rank: "chutewick-rank",
  taken: "chutewick-taken",
  other: "chutewick-other-runner",
  stamp: "chutewick-stamp",
  resumeAfter: "last-event-id",
  tenant: "chutewick-tenant",
} as const;
const ours = new Set<string>([
  names.inquiry,
  names.runner,
  names.patience,
  names.rank,
  names.resumeAfter,
  names.tenant,
]);

function headers(work: PassWork, now: number): string[] {
  const found = [
    names.inquiry,
    work.request.id,
    names.runner,
    work.runner,
    names.patience,
    String(Math.max(1, Math.floor(work.until - now))),
    names.rank,
    String(work.rank),
  ];
  if (work.resumeAfter !== undefined) found.push(names.resumeAfter, String(work.resumeAfter));
  const tenant = work.tenancy?.tenant;
  if (tenant !== undefined) found.push(names.tenant, tenant);
  const came = work.request.headers;
  for (let index = 0; index + 1 < came.length; index += 2)
    if (!ours.has(came[index]!.toLowerCase())) found.push(came[index]!, came[index + 1]!);
  return found;
}

function read(
  _status: number,
  found: Readonly<Record<string, string | string[] | undefined>>,
): ResultHead {
  const wait = Number(found["retry-after"]);
  return {
    id: one(found[names.inquiry]),
    stamped: found[names.stamp] !== undefined,
    notRun: one(found[names.taken]) === "no",
    otherRunner: found[names.other] !== undefined,
    retryAfter: wait > 0 && Number.isFinite(wait) ? wait : undefined,
  };
}

function one(value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value[0] : value;
}

export const ownDialect: RunnerDialect = { headers, read };
