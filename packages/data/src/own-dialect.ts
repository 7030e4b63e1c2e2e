import type { PassageWork, ResponseHead, RunnerProtocol } from "./dialect.js";

/** Header names of the native runner protocol of passages (docs/design.md §13.2). */
const headerNames = {
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
const reservedHeaders = new Set<string>([
  headerNames.inquiry,
  headerNames.runner,
  headerNames.patience,
  headerNames.rank,
  headerNames.resumeAfter,
  headerNames.tenant,
]);

function headers(work: PassageWork, now: number): string[] {
  const outgoing = [
    headerNames.inquiry,
    work.request.id,
    headerNames.runner,
    work.runner,
    headerNames.patience,
    String(Math.max(1, Math.floor(work.until - now))),
    headerNames.rank,
    String(work.rank),
  ];
  if (work.resumeAfter !== undefined)
    outgoing.push(headerNames.resumeAfter, String(work.resumeAfter));
  const tenant = work.tenancy?.tenant;
  if (tenant !== undefined) outgoing.push(headerNames.tenant, tenant);
  const callerHeaders = work.request.headers;
  for (let index = 0; index + 1 < callerHeaders.length; index += 2)
    if (!reservedHeaders.has(callerHeaders[index]!.toLowerCase()))
      outgoing.push(callerHeaders[index]!, callerHeaders[index + 1]!);
  return outgoing;
}

function read(
  _status: number,
  received: Readonly<Record<string, string | string[] | undefined>>,
): ResponseHead {
  const retryAfter = Number(received["retry-after"]);
  return {
    id: firstValue(received[headerNames.inquiry]),
    stamped: received[headerNames.stamp] !== undefined,
    notRun: firstValue(received[headerNames.taken]) === "no",
    otherRunner: received[headerNames.other] !== undefined,
    retryAfter: retryAfter > 0 && Number.isFinite(retryAfter) ? retryAfter : undefined,
  };
}

function firstValue(value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value[0] : value;
}

/** Protocol adapter for the runners of chutewick itself. */
export const nativeProtocol: RunnerProtocol = { headers, read };
