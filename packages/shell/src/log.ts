import bunyan from "bunyan";

/** JSON lines on standard output (docs/design.md §11). */
export type Log = bunyan;

/** A logger of one process, at a level of bunyan (`trace` to `fatal`). */
function open(program: string, name: string, level: string): Log {
  return bunyan.createLogger({
    name: program,
    node: name,
    level: level as bunyan.LogLevelString,
    stream: process.stdout,
  });
}

export const log = { open };
