import { readFileSync } from "node:fs";
import { cutText, initialize as initializeCuts, type Cut } from "@chutewick/simulator/without";

/**
 * Module loader hooks for the checker. The compiled product is loaded with its private fields as
 * ordinary properties, so that a state can be copied and fingerprinted without a line of the product
 * being changed, and with the guards taken out that are named (docs/testing.md, section on the model).
 */
export const PRIVATE_PREFIX = "private_";

const PRODUCT_MODULE = /\/packages\/(parts|control|data)\/dist\/.*\.js$/;
const PRIVATE_NAME = /#(?=[A-Za-z_])/g;

interface LoadedModule {
  readonly format: string;
  readonly shortCircuit?: boolean;
  readonly source: string;
}

/** Called by Node.js once with what `register` was given. */
export function initialize(data: { readonly cuts: readonly Cut[] }): void {
  initializeCuts(data);
}

/** Private names of compiled classes turned into property names. */
export function exposePrivateFields(source: string): string {
  return source.replace(PRIVATE_NAME, PRIVATE_PREFIX);
}

/** Called by Node.js for each module; only the product's state machines are changed. */
export async function load(
  url: string,
  context: unknown,
  next: (url: string, context: unknown) => Promise<LoadedModule>,
): Promise<LoadedModule> {
  const path = new URL(url).pathname;
  if (!PRODUCT_MODULE.test(path)) return next(url, context);
  const source = exposePrivateFields(cutText(readFileSync(path, "utf8"), path));
  return { format: "module", shortCircuit: true, source };
}
