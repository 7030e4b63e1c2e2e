import { deepEqual, equal, ok } from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { DutyDeployment, type PlatformMood } from "@chutewick/simulator";

/** Duties on the real control cores in virtual time. */
interface World {
  duties: DutyDeployment;
}

type Machine = DutyDeployment["holder"];

function haveReported(this: World, seconds: number): void {
  this.duties = new DutyDeployment(91);
  this.duties.deployment.after(seconds);
}
Given("control machines that have reported usage for {int} s", { timeout: 60_000 }, haveReported);

function haveReportedAtOnce(this: World, seconds: number): void {
  this.duties = new DutyDeployment(91, 0);
  this.duties.deployment.after(seconds);
}
Given(
  "control machines that connect to the platform at once, and have reported usage for {int} s",
  { timeout: 60_000 },
  haveReportedAtOnce,
);

When("nothing happens", function (): void {});

function losesPower({ duties }: World, machine: Machine, seconds: number): void {
  machine.kill(true);
  duties.deployment.world.after(seconds * 1_000, () => machine.start());
}

When("the machine that acted last loses power for {float} s", function (this: World, s: number) {
  losesPower(this, this.duties.holder, s);
});

When("the head loses power for {float} s", function (this: World, s: number) {
  losesPower(this, this.duties.deployment.head!, s);
});

When("all machines lose power for {float} s", function (this: World, s: number) {
  for (const machine of this.duties.deployment.controls) losesPower(this, machine, s);
});

When("the machine that acted last is killed for good", function (this: World) {
  this.duties.holder.kill(true);
});

When("the machine that acted last and the head are killed for good", function (this: World) {
  const { holder, deployment } = this.duties;
  const head = deployment.head!;
  holder.kill(true);
  const other = head === holder ? deployment.controls.find((machine) => machine.alive)! : head;
  other.kill(true);
});

function isFrozen({ duties }: World, machine: Machine, seconds: number): void {
  machine.freeze();
  duties.deployment.world.after(seconds * 1_000, () => machine.wake());
}

When("the machine that acted last is frozen for {float} s", function (this: World, s: number) {
  isFrozen(this, this.duties.holder, s);
});

/** The word that the round is won waits at the machine until it wakes. */
function isFrozenAsItWins(this: World, seconds: number): void {
  const { duties } = this;
  const { holder } = duties;
  duties.asked = (machine) => {
    if (machine !== holder) return;
    duties.asked = undefined;
    isFrozen(this, holder, seconds);
  };
}
When("the machine that acted last is frozen for {float} s as it has won", isFrozenAsItWins);

function isCutFromControl(this: World, seconds: number): void {
  const { holder, deployment } = this.duties;
  for (const { address } of deployment.machines)
    if (address !== holder.address) deployment.world.cut(address, holder.address);
  deployment.world.after(seconds * 1_000, () => deployment.world.mend());
}
When("the machine that acted last is cut off from control for {float} s", isCutFromControl);

function isCutFromPlatform(this: World, seconds: number): void {
  const { holder, deployment, cutFromPlatform } = this.duties;
  cutFromPlatform.add(holder);
  deployment.world.after(seconds * 1_000, () => cutFromPlatform.delete(holder));
}
When("the machine that acted last is cut off from the platform for {float} s", isCutFromPlatform);

When("the wall clock of the machine that acted last steps by an hour", function (this: World) {
  this.duties.holder.wallStep += 3_600_000;
});

function platformIs(this: World, mood: string, seconds: number): void {
  const { platform, deployment } = this.duties;
  platform.mood = mood as PlatformMood;
  deployment.world.after(seconds * 1_000, () => {
    platform.mood = "well";
  });
}
When(
  /^the platform is (down|silent|slow|busy) for (\d+) s$/,
  function (this: World, mood: string, seconds: string) {
    platformIs.call(this, mood, Number(seconds));
  },
);

When(
  "{int} s go by at the platform",
  { timeout: 60_000 },
  function (this: World, seconds: number): void {
    this.duties.deployment.after(seconds);
  },
);

function allWereReported(this: World, seconds: number): void {
  const { broken, delays } = this.duties;
  deepEqual(broken, []);
  const late = [...delays].filter(([, delay]) => delay === undefined || delay > seconds * 1_000);
  deepEqual(late, []);
  equal(delays.size > 10, true, `${delays.size} windows`);
}
Then("no rule of duties was broken, and every window was reported within {int} s", allWereReported);

function soManyActed(this: World, count: number): void {
  equal(this.duties.holders.size, count, [...this.duties.holders].join(", "));
}
Then("{int} machine(s) have reported", soManyActed);

function atMostActed(this: World, most: number): void {
  ok(this.duties.holders.size <= most, [...this.duties.holders].join(", "));
}
Then("at most {int} machine(s) have reported", atMostActed);

/** A lease lies between the rounds of two holders, and a call goes out within 900 ms of its round's asking. */
function changedSlowly(this: World, least: number): void {
  const reports = this.duties.platform.seen.filter(({ subject }) => subject === "duty/usage/all");
  for (const [index, report] of reports.entries()) {
    const before = reports[index - 1];
    if (before === undefined || before.holder === report.holder) continue;
    ok(report.at - before.at >= least, `${before.holder}, then ${report.holder}`);
  }
}
Then("each of them reported {int} ms or more after the one before", changedSlowly);
