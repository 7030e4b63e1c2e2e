import { equal } from "node:assert/strict";
import { execFileSync, spawn, type ChildProcess } from "node:child_process";
import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { Disk } from "@chutewick/shell";

/** A real process whose files may not grow beyond a limit, which stands for a full disk: the file system then refuses writes. */
interface World {
  diskFolder?: string;
  limited?: LimitedProcess;
}

/** bytes. Of one write of the process. */
const bytesOfWrite = 40_000;
const patience = { timeout: 20_000 };

class LimitedProcess {
  readonly child: ChildProcess;
  readonly #lines: string[] = [];
  #heard: (() => void) | undefined;

  constructor(folder: string) {
    const program = fileURLToPath(new URL("disk-process.js", import.meta.url));
    this.child = spawn("prlimit", ["--fsize=0:", process.execPath, program, folder], {
      stdio: ["pipe", "pipe", "inherit"],
    });
    const self = this;
    function hear(text: string): void {
      self.#lines.push(...text.trim().split("\n"));
      self.#heard?.();
    }
    this.child.stdout!.setEncoding("utf8").on("data", hear);
  }

  /** Sets the limit on the size of its files, in bytes or `unlimited`. */
  limit(size: string): void {
    execFileSync("prlimit", ["--pid", String(this.child.pid), `--fsize=${size}:`]);
  }

  say(line: string): void {
    this.child.stdin!.write(`${line}\n`);
  }

  /** Waits for a line and passes over those before it. */
  async hears(line: string): Promise<void> {
    for (;;) {
      const place = this.#lines.indexOf(line);
      if (place >= 0) {
        this.#lines.splice(0, place + 1);
        return;
      }
      const self = this;
      function begin(resolve: () => void): void {
        self.#heard = resolve;
      }
      await new Promise<void>(begin);
    }
  }
}

async function started(this: World): Promise<void> {
  this.diskFolder = mkdtempSync(join(tmpdir(), "chutewick-disk-"));
  this.limited = new LimitedProcess(this.diskFolder);
  await this.limited.hears("waiting");
}
Given("a real process with a data folder whose disk is full", patience, started);

function hasSome(this: World, megabytes: number): void {
  this.limited!.limit(String(megabytes * 1_000_000));
}
When("its disk has room for {int} MB", hasSome);

async function opens(this: World): Promise<void> {
  await this.limited!.hears("opened");
}
Then("it opens its folder", patience, opens);

function writes(this: World, megabytes: number): void {
  this.limited!.say(`write ${(megabytes * 1_000_000) / bytesOfWrite}`);
}
When("it writes {int} MB", writes);

async function tellsCondition(this: World, condition: string): Promise<void> {
  await this.limited!.hears(condition);
}
Then("it tells that its disk is {word}", patience, tellsCondition);

function hasRoom(this: World): void {
  this.limited!.limit("unlimited");
}
When("its disk has room again", hasRoom);

async function isThere(this: World): Promise<void> {
  await this.limited!.hears("durable");
  this.limited!.say("close");
  await this.limited!.hears("closed");
  const owner = { kind: "storage", name: "storage-1" };
  const listener = { changed: unexpected, waiting: unexpected };
  const opened = await Disk.open(this.diskFolder!, owner, listener);
  if (!opened.ok) throw new Error(opened.reason);
  equal(opened.value.holding("q")!.records.length, 400);
  await opened.value.close();
}
Then("everything that it wrote is in its folder", patience, isThere);

function unexpected(what: string): void {
  throw new Error(`the disk is ${what}`);
}

function ended(this: World): void {
  this.limited?.child.kill("SIGKILL");
}
After(ended);
