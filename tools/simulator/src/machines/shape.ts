import type { Policy } from "@chutewick/parts";

/** What is said of a machine when it is set up. */

/** What a deployment's settings say beside addresses; read anew at each start. */
export interface Setting {
  readonly policy?: Policy;
  /** False for all but the very first start. */
  founding?: boolean;
  readonly zone?: string;
}

/** A machine's name, where it is heard, and which control machines it knows first. */
export interface MachineShape {
  readonly name: string;
  /** Its name where absent. */
  readonly address?: string;
  readonly seeds: readonly string[];
  readonly setting?: Setting;
}

/** Machines stand in three zones by their numbers. */
export function zoneNamed(name: string): string {
  return `zone-${Number(name.slice(name.lastIndexOf("-") + 1)) % 3}`;
}
