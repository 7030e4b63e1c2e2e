import type { PassRequest } from "@chutewick/data";

/** A request as an interface reads it: posted, without a body, saying nothing of itself but what is given. */
export function requestOf(
  id: string,
  host: string,
  path: string,
  more: Partial<PassRequest> = {},
): PassRequest {
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
    ...more,
  };
}
