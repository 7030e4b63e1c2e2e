import { readFileSync } from "node:fs";

/** Loads the product with one guard taken out, from outside: pieces of its compiled text are replaced (docs/testing.md §2). */
export interface Cut {
  readonly file: string;
  readonly from: string;
  readonly to: string;
}

let cuts: readonly Cut[] = [];

export function initialize(data: { cuts: readonly Cut[] }): void {
  cuts = data.cuts;
}

/** Each piece must stand exactly once, or the guard is no longer where the table says. */
export function cutText(source: string, file: string): string {
  let text = source;
  for (const cut of cuts) {
    if (!file.endsWith(cut.file)) continue;
    const parts = text.split(cut.from);
    if (parts.length !== 2) throw new Error(`${cut.file}: "${cut.from}" stands ${parts.length - 1} times`);
    text = parts.join(cut.to);
  }
  return text;
}

type Loaded = { format: string; shortCircuit?: boolean; source: string };

export async function load(url: string, context: unknown, next: (url: string, context: unknown) => Promise<Loaded>): Promise<Loaded> {
  for (const { file } of cuts) {
    if (!url.endsWith(file)) continue;
    const path = new URL(url);
    return { format: "module", shortCircuit: true, source: cutText(readFileSync(path, "utf8"), path.pathname) };
  }
  return next(url, context);
}
