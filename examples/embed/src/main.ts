/** Runs the example: adds to the counter, stops a member, and continues in a view without it. */
import { Group } from "./index.js";

const group = new Group(["left", "middle", "right"]);
process.stdout.write(`add 5: ${String(group.inquire("left", { kind: "add", amount: 5 }))}\n`);
group.stop("left");
process.stdout.write(
  `left has stopped; nothing is committed in the old view: ${String(group.inquire("middle", { kind: "add", amount: 1 }))}\n`,
);
group.adopt({ mark: 2, members: group.members.slice(1) });
process.stdout.write(
  `add 2 in view 2: ${String(group.inquire("middle", { kind: "add", amount: 2 }))}\n`,
);
process.stdout.write(`read: ${String(group.inquire("middle", { kind: "read", amount: 0 }))}\n`);
