import { deepEqual, equal, ok } from "node:assert/strict";
import { readFileSync } from "node:fs";
import { Given, Then, When } from "@cucumber/cucumber";
import type { PersistedChain, VoteState } from "@chutewick/parts";
import { Campaign, Folder, type LotRecord } from "@chutewick/simulator";
import { Packr } from "msgpackr";

interface Kept {
  readonly messages: Record<string, string>;
  readonly folders: Record<string, string>;
}

interface World {
  kept: Kept;
  campaign: Campaign;
}

const packer = new Packr({ useRecords: false });

function whatAMarkWrote(this: World, mark: number): void {
  this.kept = JSON.parse(readFileSync(`features/marks/mark-${mark}.json`, "utf8")) as Kept;
}
Given("what mark {int} wrote", whatAMarkWrote);

function everyKindIsTaken(this: World): void {
  const campaign = new Campaign({ seed: 1, faults: false });
  campaign.begin();
  campaign.world.run(6_000);
  const kinds = Object.keys(this.kept.messages);
  ok(kinds.length >= 15, kinds.join(", "));
  for (const kind of kinds) {
    const message: unknown = packer.unpack(Buffer.from(this.kept.messages[kind]!, "base64"));
    equal((message as { kind: string }).kind, kind);
    for (const machine of [campaign.controls[0]!, campaign.storages[0]!, campaign.accesses[0]!])
      machine.arrived(message, "stranger");
  }
  campaign.world.run(8_000);
  ok(campaign.controls.some(isHead), "the fleet has a head still");
}
Then(
  "every kind of its messages is taken by today's control, storage and access machines",
  everyKindIsTaken,
);

function isHead(machine: { core: { isHead: boolean } }): boolean {
  return machine.core.isHead;
}

function aFleetStartsFromFolders(this: World): void {
  const campaign = new Campaign({ seed: 2, faults: false, tokens: 6 });
  for (const machine of [...campaign.controls, ...campaign.storages]) {
    const kept = packer.unpack(Buffer.from(this.kept.folders[machine.name]!, "base64")) as {
      identity: string;
      votes: VoteState | undefined;
      holdings: [string, PersistedChain][];
    };
    const folder = new Folder(kept.identity);
    folder.votes = kept.votes;
    for (const [chain, { state, records, entries }] of kept.holdings)
      folder.write(chain, { clear: true, changes: records, entries, drop: [], state });
    machine.folder = folder;
  }
  campaign.begin();
  campaign.world.run(10_000);
  this.campaign = campaign;
}
When("a fleet of today starts from its folders", aFleetStartsFromFolders);

function itsLotsFinish(this: World, lots: number): void {
  const { campaign } = this;
  const mark = campaign.accesses[0]!.core.membership.configuration.mark;
  ok(mark >= 1, `mark ${mark}`);
  const records: LotRecord[] = [];
  for (let lot = 1; lot <= lots; lot += 1) {
    const record: LotRecord = { key: `kept-${lot}`, count: 8, tries: [], views: [], handIns: [] };
    records.push(record);
    campaign.sight.lots.push(record);
    /** The same key with the same items is the lot that the folder holds. */
    campaign.lotClients.submit(record, "slips");
  }
  campaign.world.run(30_000);
  campaign.look();
  campaign.world.run(31_000);
  for (const record of records) {
    deepEqual(record.tries, ["accepted"]);
    const view = record.views.at(-1)!;
    equal(view.state, "done");
    const indexes: number[] = [];
    for (const item of view.items) indexes.push(item.index);
    deepEqual(indexes, [...Array(8).keys()]);
  }
  const runs = new Set<string>();
  for (const run of campaign.sight.runs) runs.add(JSON.stringify(run.prompt));
  ok(runs.size < lots * 8, `${runs.size} items ran again, though some were solved before`);
}
Then("its configuration is in force and its {int} lots finish with each item once", itsLotsFinish);
