import { measureFolders, measureLots, measureWaiting } from "./folders.js";
import {
  measureAnnouncements,
  measureChanges,
  measureChoices,
  measurePassages,
  measurePermits,
  measurePlans,
  measureSessions,
  measureState,
  measureTold,
  warm,
} from "./plane.js";
import { measureProcesses } from "./processes.js";
import { measureDraws, measureIdle, measureItems, measurePassItems } from "./queues.js";
import { measureRelay } from "./relays.js";
import { Rows } from "./rows.js";
import { measureSketches } from "./sketches.js";
import { measureWire } from "./wires.js";

/** The whole scale run, bounded in count and time: at tiny sizes for tests, at usual ones for the page. */
export interface ScaleOptions {
  readonly tiny: boolean;
  /** Real processes beside the cores. */
  readonly processes: boolean;
  readonly note?: (text: string) => void;
}

/** s. After this the run is ended, whatever it does. */
export const longest = 600;

export async function scale(options: ScaleOptions): Promise<Rows> {
  const rows = new Rows();
  const { tiny } = options;
  function quiet(): void {
    /* Nobody listens. */
  }
  const note = options.note ?? quiet;
  warm();
  note("sessions, rolls and leases");
  const crossed = tiny
    ? [
        { nodes: 4, runners: 8 },
        { nodes: 8, runners: 24 },
        { nodes: 16, runners: 32 },
        { nodes: 16, runners: 8 },
      ]
    : [
        { nodes: 30, runners: 120 },
        { nodes: 60, runners: 240 },
        { nodes: 120, runners: 480 },
        { nodes: 30, runners: 480 },
        { nodes: 120, runners: 120 },
      ];
  measureSessions(rows, crossed, tiny ? 0.6 : 3);
  note("what nodes tell of runners they have work at");
  measureTold(rows, tiny ? [8, 16, 32] : [60, 120, 240], tiny ? 4 : 20);
  note("choices of a runner");
  measureChoices(rows, tiny ? [8, 16, 32] : [100, 200, 400, 800], tiny ? [0, 10] : [0, 100, 200]);
  note("passages: choices and looks");
  measurePassages(
    rows,
    tiny ? [8, 16, 32] : [100, 200, 400, 800],
    tiny
      ? [
          { nodes: 4, runners: 8 },
          { nodes: 8, runners: 16 },
          { nodes: 16, runners: 16 },
          { nodes: 4, runners: 32 },
        ]
      : [
          { nodes: 8, runners: 100 },
          { nodes: 16, runners: 200 },
          { nodes: 32, runners: 400 },
          { nodes: 8, runners: 400 },
          { nodes: 32, runners: 100 },
        ],
  );
  note("announcements");
  measureAnnouncements(rows, tiny ? [2, 4, 8] : [5, 20, 80]);
  note("changes of configuration");
  measureChanges(rows, tiny ? [10, 40, 80] : [50, 200, 800, 2_000]);
  note("plans");
  measurePlans(rows, tiny ? [2, 4, 8] : [5, 15, 30, 60], tiny ? 8 : 240);
  note("permits while control is away");
  measurePermits(rows, tiny ? [4, 8, 12] : [20, 40, 80], 4);
  note("state");
  measureState(
    rows,
    tiny
      ? [
          { nodes: 20, runners: 40 },
          { nodes: 40, runners: 60 },
          { nodes: 80, runners: 320 },
        ]
      : [
          { nodes: 200, runners: 800 },
          { nodes: 400, runners: 1_000 },
          { nodes: 860, runners: 3_600 },
        ],
    tiny ? [20, 40, 80] : [200, 400, 860],
  );
  note("idle queues");
  measureIdle(rows, tiny ? [1, 2, 4] : [1, 8, 29], tiny ? 1 : 2);
  note("items through owners, copies and dispatchers");
  const items = tiny
    ? [
        { items: 20, body: 100 },
        { items: 40, body: 100 },
        { items: 60, body: 100 },
        { items: 40, body: 1_000 },
      ]
    : [
        { items: 100, body: 400 },
        { items: 200, body: 400 },
        { items: 400, body: 400 },
        { items: 200, body: 3_300 },
        { items: 400, body: 3_300 },
      ];
  measureItems(rows, items, tiny ? 2 : 5);
  note("passages: idle queues and items");
  measureDraws(rows, tiny ? [2, 3, 4] : [2, 8, 24], tiny ? 1 : 3);
  measurePassItems(rows, items, tiny ? 2 : 5);
  note("what waits, and one step");
  measureWaiting(rows, tiny ? [500, 1_000, 2_000] : [2_000, 8_000, 32_000], tiny ? 400 : 3_300);
  note("three folders on a disk");
  await measureFolders(
    rows,
    tiny ? [1, 4, 8] : [1, 8, 32, 128],
    tiny ? [100, 400, 800] : [400, 1_600, 3_300, 6_600],
    tiny ? 0.3 : 3,
  );
  note("lots in one entry");
  await measureLots(rows, tiny ? [20, 40, 80] : [250, 500, 1_000, 2_000], tiny ? 400 : 3_300);
  note("sketches of what is proposed");
  measureSketches(rows, tiny);
  note("small messages over the wire");
  await measureWire(
    rows,
    tiny ? [100, 400, 1_600] : [200, 1_000, 4_000, 16_000],
    tiny ? 200 : 4_000,
  );
  if (options.processes) {
    note("a relay's messages over sockets");
    await measureRelay(
      rows,
      tiny ? [4, 8, 16] : [123, 246, 492, 860],
      tiny ? 72 : 720,
      tiny ? 8 : 116,
      128,
      tiny ? 2 : 10,
    );
    await measureProcesses(
      rows,
      tiny
        ? {
            hollow: [2, 4, 6],
            runnersEach: 2,
            runners: [2, 4, 6],
            streams: [5, 10, 20],
            pieces: [4, 16],
            lots: [1, 2, 3],
            passing: { open: [4, 8], every: [38, 19], seconds: 2 },
            seconds: 2,
          }
        : {
            hollow: [15, 30, 60],
            runnersEach: 4,
            runners: [4, 24, 64],
            streams: [15, 40, 80],
            pieces: [8, 40, 120, 240],
            lots: [1, 3, 6],
            passing: { open: [100, 300, 600], every: [76, 38], seconds: 6 },
            seconds: 6,
          },
      note,
    );
  }
  return rows;
}
