import type { RunRecord } from "../runners.js";
import type { Report, RequestRecord, Sight } from "./records.js";

/** Rules for live requests: run at most once, told truly, and with their own whole result. */

/** Compares each request with its runs. */
export function checkRequests(
  sight: Sight,
  runsOf: (prompt: string) => readonly RunRecord[],
  report: Report,
): void {
  for (const request of sight.inquiries) {
    const { prompt, told, kind } = request;
    const runs = runsOf(prompt);
    if (runs.length > 1) report("runs-twice", `${prompt} ran ${runs.length} times`);
    if (told === "not-run" && runs.length > 0)
      report("not-run-ran", `${prompt} was told not run, and ran at ${runs[0]!.runner}`);
    if (kind === "stream") checkStream(request, runs, report);
    else if (told === "done") checkWhole(request, runs, report);
  }
}

function checkWhole(
  { kind, prompt, value }: RequestRecord,
  runs: readonly RunRecord[],
  report: Report,
): void {
  const isFetch = kind === "fetch";
  const expected = isFetch ? `label for ${prompt}` : JSON.stringify({ read: prompt });
  const got = isFetch ? value : JSON.stringify(value);
  if (got !== expected) report("someone-elses", `${prompt} got ${String(got)}`);
  if (runs[0]?.ending !== "done")
    report(
      "partial-looks-whole",
      `${prompt} was told done, and its run ended ${runs[0]?.ending ?? "never"}`,
    );
}

function checkStream(request: RequestRecord, runs: readonly RunRecord[], report: Report): void {
  const { prompt, pieces, told, closed } = request;
  const from = new Set<number>();
  for (const [place, piece] of pieces.entries()) {
    const data = piece.data as { prompt: unknown; run: number; text: number };
    if (piece.number !== place || data.text !== place)
      report(
        "stream-pieces",
        `${prompt}: piece ${piece.number} with text ${data.text} at place ${place}`,
      );
    if (data.prompt !== prompt)
      report("someone-elses", `${prompt} got a piece of ${String(data.prompt)}`);
    from.add(data.run);
  }
  if (from.size > 1) report("stream-pieces", `${prompt} joins ${from.size} runs`);
  if (told !== "done") return;
  const [run] = runs;
  const isWhole =
    run?.ending === "done" && run.pieces.length === pieces.length && closed === pieces.length;
  if (!isWhole)
    report(
      "partial-looks-whole",
      `${prompt} was closed with ${pieces.length} pieces of ${run?.pieces.length ?? 0}, run ${run?.ending ?? "never"}`,
    );
}
