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

/**
 * A pattern for a piece of compiled text that does not depend on how the source was laid out: white
 * space may stand between any two symbols, and a trailing comma before a closing bracket.
 */
function layoutFree(piece: string): RegExp {
  const symbols = piece.match(/\w+|"[^"]*"|'[^']*'|[^\s\w]/g) ?? [];
  const escaped = symbols.map((symbol) => symbol.replace(/[.*+?^${}()|[\]\\]/g, "\\$&"));
  const closes = (symbol: string): boolean => symbol === ")" || symbol === "]" || symbol === "}";
  const parts = escaped.map((symbol, index) =>
    closes(symbols[index]!) ? `,?\\s*${symbol}` : symbol,
  );
  return new RegExp(parts.join("\\s*"), "g");
}

/** Each piece must stand exactly once, or the guard is no longer where the table says. */
export function cutText(source: string, file: string): string {
  let text = source;
  for (const cut of cuts) {
    if (!file.endsWith(cut.file)) continue;
    const pattern = layoutFree(cut.from);
    const found = text.match(pattern)?.length ?? 0;
    if (found !== 1) throw new Error(`${cut.file}: "${cut.from}" stands ${found} times`);
    text = text.replace(pattern, () => cut.to);
  }
  return text;
}

type Loaded = { format: string; shortCircuit?: boolean; source: string };

export async function load(
  url: string,
  context: unknown,
  next: (url: string, context: unknown) => Promise<Loaded>,
): Promise<Loaded> {
  for (const { file } of cuts) {
    if (!url.endsWith(file)) continue;
    const path = new URL(url);
    return {
      format: "module",
      shortCircuit: true,
      source: cutText(readFileSync(path, "utf8"), path.pathname),
    };
  }
  return next(url, context);
}
