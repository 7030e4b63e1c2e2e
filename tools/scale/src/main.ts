import { boolean, command, flag, run } from "cmd-ts";
import { longest, scale } from "./run.js";
import { letter, told } from "./size.js";

/** `npm run scale -- --processes --markdown`: slopes at three sizes or more, and what follows at full size. */
async function start(given: {
  tiny: boolean;
  processes: boolean;
  markdown: boolean;
}): Promise<void> {
  function ended(): void {
    process.stderr.write(`the run was ended after ${longest} s\n`);
    process.exit(1);
  }
  setTimeout(ended, longest * 1_000).unref();
  function note(text: string): void {
    process.stderr.write(`${text}\n`);
  }
  const rows = await scale({ tiny: given.tiny, processes: given.processes, note });
  process.stdout.write(
    given.markdown
      ? told.markdown(rows, letter)
      : `${JSON.stringify({ size: letter, rows: rows.rows, full: told.full(rows, letter), proposed: told.proposed(rows, letter) }, undefined, 1)}\n`,
  );
  process.exit(0);
}

void run(
  command({
    name: "scale",
    description: "what each role costs by size, measured, and at the size to design for",
    handler: start,
    args: {
      tiny: flag({
        type: boolean,
        long: "tiny",
        description: "small sizes, seconds instead of minutes",
      }),
      processes: flag({
        type: boolean,
        long: "processes",
        description: "real processes with hollow nodes beside them, over loopback",
      }),
      markdown: flag({ type: boolean, long: "markdown", description: "as tables" }),
    },
  }),
  process.argv.slice(2),
);
