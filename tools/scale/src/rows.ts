import { lineThrough, valueOn, type Line, type Point } from "./slope.js";

/** What is told of each role: a line through at least three sizes. */
export const roles = [
  "control head",
  "control member",
  "storage owner",
  "storage replica",
  "access node",
  "dispatcher",
  "runner link",
] as const;
export type Role = (typeof roles)[number];

export interface Row extends Line {
  readonly role: Role;
  readonly what: string;
  readonly unit: string;
  /** Names of the variables, in the order of `at` and `slopes`. */
  readonly by: readonly string[];
  readonly points: readonly Point[];
}

export class Rows {
  readonly rows: Row[] = [];

  add(
    role: Role,
    what: string,
    unit: string,
    by: readonly string[],
    points: readonly Point[],
  ): void {
    this.rows.push({ role, what, unit, by, points, ...lineThrough(points) });
  }

  find(role: Role, what: string): Row | undefined {
    for (const row of this.rows) if (row.role === role && row.what === what) return row;
    return undefined;
  }

  at(role: Role, what: string, at: readonly number[]): number {
    const row = this.find(role, what);
    return row === undefined ? Number.NaN : valueOn(row, at);
  }
}
