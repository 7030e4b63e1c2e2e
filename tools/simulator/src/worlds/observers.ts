import type { Machine } from "../world.js";
import { orderIn } from "./configuration.js";
import type { Site } from "./site.js";

/** ms between two looks at what each node serves. */
const LOOK_EVERY = 150;

/** Records again and again, every so many ms, which configuration each node that holds a lease serves. */
export function observeNodes(site: Site, every = LOOK_EVERY): void {
  function look(): void {
    site.deployment.world.after(every, look);
    const { accesses, storages } = site.deployment;
    for (const node of [...accesses, ...storages]) {
      const { membership } = node.core ?? {};
      if (!node.alive || node.frozen || !membership?.holds(site.now)) continue;
      const { mark, value } = membership.configuration;
      site.history.begins.push({
        node: nameOfLife(node),
        at: site.now,
        mark,
        id: orderIn(value),
      });
    }
  }
  look();
}

function nameOfLife(machine: Machine): string {
  return `${machine.name}/${machine.life}`;
}
