import { mkdirSync, writeFileSync } from "node:fs";
import { constants } from "@chutewick/parts";
import { Packr } from "msgpackr";
import { Campaign } from "./campaign/campaign.js";

/** Keeps what this mark writes: one message of each kind and the folders of a small fleet (docs/design.md §10.6). */
const campaign = new Campaign({ seed: 5, faults: false, tokens: 6 });
const packer = new Packr({ useRecords: false });
const messages: Record<string, string> = {};
const send = campaign.world.send.bind(campaign.world);
function sendAndKeep(from: string, to: string, message: unknown): void {
  messages[(message as { kind: string }).kind] ??= packer.pack(message).toString("base64");
  send(from, to, message);
}
campaign.world.send = sendAndKeep;
campaign.begin();
campaign.world.run(8_000);
for (let lot = 1; lot <= 3; lot += 1)
  campaign.lotClients.submit(
    { key: `kept-${lot}`, count: 8, tries: [], views: [], handIns: [] },
    "slips",
  );
campaign.world.run(9_500);
campaign.storages[0]!.kill(true);
campaign.world.run(13_000);
campaign.storages[0]!.start();
campaign.world.run(15_000);
const folders: Record<string, string> = {};
for (const machine of [...campaign.controls, ...campaign.storages]) {
  const { identity, votes } = machine.folder!;
  folders[machine.name] = packer
    .pack({ identity, votes, holdings: [...machine.folder!.holdings()] })
    .toString("base64");
}
mkdirSync("features/marks", { recursive: true });
writeFileSync(
  `features/marks/mark-${constants.wireFormatVersion}.json`,
  `${JSON.stringify({ wireMark: constants.wireFormatVersion, diskMark: constants.diskFormatVersion, messages, folders }, undefined, 1)}\n`,
);
