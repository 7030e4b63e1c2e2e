/** What one entry of a day's troubles is made from. */

/** One variant of a trouble; its fields go into the day's file as they are. */
export interface Variant {
  /** How the table of played days names it: the kind, and what sets the variant apart. */
  readonly name: string;
  /** Whether it is planned work (`plan`) or a fault (`faults`). */
  readonly list: "plan" | "faults";
  readonly fields: VariantFields;
}

/** Fields of an entry, by their name in the day's file. */
export type VariantFields = Readonly<Record<string, string | number>>;

/** The variants of one kind, from their fields by what sets each apart ("" for the plain one). */
export function variantsOf(
  kind: string,
  list: Variant["list"],
  all: Readonly<Record<string, VariantFields>>,
): Variant[] {
  return Object.entries(all).map(([name, fields]) => ({
    name: name === "" ? kind : `${kind} ${name}`,
    list,
    fields: { kind, ...fields },
  }));
}

/** One set of fields for each value of `how`, by that value. */
export function withHow(
  values: readonly string[],
  base: VariantFields = {},
): Record<string, VariantFields> {
  return Object.fromEntries(values.map((how) => [how, { ...base, how }]));
}
