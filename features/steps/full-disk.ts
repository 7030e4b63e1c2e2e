/** Steps on a process whose disk is full, which a limit on its file size stands in for. */
import { equal } from "node:assert/strict";
import { execFileSync, spawn, type ChildProcess } from "node:child_process";
import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { Disk } from "@chutewick/shell";

/** A real process whose files may not grow beyond a limit. The file system then refuses writes, as on a full disk. */
interface World {
  diskFolder?: string;
  limited?: LimitedProcess;
}

/** Size in bytes of one write of the process. */
const writeBytes = 40_000;
const stepOptions = { timeout: 20_000 };

class LimitedProcess {
  readonly child: ChildProcess;
  readonly #lines: string[] = [];
  #lineReceived: (() => void) | undefined;

  constructor(folder: string) {
    const program = fileURLToPath(new URL("disk-process.js", import.meta.url));
    this.child = spawn("prlimit", ["--fsize=0:", process.execPath, program, folder], {
      stdio: ["pipe", "pipe", "inherit"],
    });
    const self = this;
    function receive(text: string): void {
      self.#lines.push(...text.trim().split("\n"));
      self.#lineReceived?.();
    }
    this.child.stdout!.setEncoding("utf8").on("data", receive);
  }

  /** Sets the file size limit, in bytes or `unlimited`. */
  limit(size: string): void {
    execFileSync("prlimit", ["--pid", String(this.child.pid), `--fsize=${size}:`]);
  }

  sendLine(line: string): void {
    this.child.stdin!.write(`${line}\n`);
  }

  /** Waits for a line of output and discards the lines before it. */
  async waitForLine(line: string): Promise<void> {
    for (;;) {
      const index = this.#lines.indexOf(line);
      if (index >= 0) {
        this.#lines.splice(0, index + 1);
        return;
      }
      const self = this;
      function begin(resolve: () => void): void {
        self.#lineReceived = resolve;
      }
      await new Promise<void>(begin);
    }
  }
}

async function started(this: World): Promise<void> {
  this.diskFolder = mkdtempSync(join(tmpdir(), "chutewick-disk-"));
  this.limited = new LimitedProcess(this.diskFolder);
  await this.limited.waitForLine("waiting");
}
Given("a real process with a data folder whose disk is full", stepOptions, started);

function hasSomeSpace(this: World, megabytes: number): void {
  this.limited!.limit(String(megabytes * 1_000_000));
}
When("its disk has space for {int} MB", hasSomeSpace);

async function opens(this: World): Promise<void> {
  await this.limited!.waitForLine("opened");
}
Then("it opens its folder", stepOptions, opens);

function writes(this: World, megabytes: number): void {
  this.limited!.sendLine(`write ${(megabytes * 1_000_000) / writeBytes}`);
}
When("it writes {int} MB", writes);

async function reportsCondition(this: World, condition: string): Promise<void> {
  await this.limited!.waitForLine(condition);
}
Then("it reports that its disk is {word}", stepOptions, reportsCondition);

function hasSpace(this: World): void {
  this.limited!.limit("unlimited");
}
When("its disk has space again", hasSpace);

async function isThere(this: World): Promise<void> {
  await this.limited!.waitForLine("durable");
  this.limited!.sendLine("close");
  await this.limited!.waitForLine("closed");
  const owner = { kind: "storage", name: "storage-1" };
  const listener = { changed: unexpected, waiting: unexpected };
  const opened = await Disk.open(this.diskFolder!, owner, listener);
  if (!opened.ok) throw new Error(opened.reason);
  equal(opened.value.holding("q")!.records.length, 400);
  await opened.value.close();
}
Then("everything that it wrote is in its folder", stepOptions, isThere);

function unexpected(what: string): void {
  throw new Error(`the disk is ${what}`);
}

function ended(this: World): void {
  this.limited?.child.kill("SIGKILL");
}
After(ended);
