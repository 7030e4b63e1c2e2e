import type { PassageRequest } from "@chutewick/data";

/** Returns a request on a passage as parsed by the HTTP interface: a POST without a body and without optional fields, except those given. */
export function requestOf(
  id: string,
  host: string,
  path: string,
  overrides: Partial<PassageRequest> = {},
): PassageRequest {
  return {
    id,
    method: "POST",
    host,
    path,
    headers: ["Host", host],
    body: new Uint8Array(0),
    patience: undefined,
    model: undefined,
    tokensIn: undefined,
    tokensOut: undefined,
    parts: [],
    resumeAfter: undefined,
    credential: undefined,
    ...overrides,
  };
}
