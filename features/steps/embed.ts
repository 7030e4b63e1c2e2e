import { equal } from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { Group } from "@chutewick/example-embed";

interface World {
  group: Group;
}

function anEmbeddedCounter(this: World): void {
  this.group = new Group(["left", "middle", "right"]);
}
Given("an embedded counter on three members", anEmbeddedCounter);

function fiveIsAdded(this: World, amount: number): void {
  equal(this.group.inquire("left", { kind: "add", amount }), amount);
}
When("{int} is added at the head", fiveIsAdded);

function theHeadIsGone(this: World): void {
  this.group.stop("left");
}
When("the head is gone", theHeadIsGone);

function theOldViewConfirmsNothing(this: World): void {
  equal(this.group.inquire("middle", { kind: "add", amount: 1 }), undefined);
}
Then("an addition in the old view is not confirmed", theOldViewConfirmsNothing);

function aViewOfTheOthers(this: World): void {
  this.group.adopt({ mark: 2, members: this.group.members.slice(1) });
}
When("a view of the other two is adopted", aViewOfTheOthers);

function addingGives(this: World, amount: number, sum: number, read: number): void {
  equal(this.group.inquire("middle", { kind: "add", amount }), sum);
  equal(this.group.inquire("middle", { kind: "read", amount: 0 }), read);
}
Then("adding {int} gives {int}, and a read gives {int}", addingGives);
