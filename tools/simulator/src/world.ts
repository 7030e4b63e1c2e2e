/** Virtual time, one seed, a network, disks and machines that fail (docs/testing.md §3). */
export { Chance } from "./world/chance.js";
export { Folder } from "./world/folder.js";
export { Machine } from "./world/machine.js";
export { World } from "./world/world.js";
