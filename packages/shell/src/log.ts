import bunyan from "bunyan";

/** Logger that writes JSON lines to standard output (docs/design.md §11). */
export type Log = bunyan;

/** Creates the logger of a process, at a level of bunyan (`trace` to `fatal`). */
function open(program: string, name: string, level: string): Log {
  return bunyan.createLogger({
    name: program,
    node: name,
    level: level as bunyan.LogLevelString,
    stream: process.stdout,
  });
}

export const log = { open };
