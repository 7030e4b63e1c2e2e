import { constants, type ChainView, type Policy } from "@chutewick/parts";
import type { ControlCommand } from "@chutewick/control";
import type { DataMessage } from "@chutewick/data";
import { Disk } from "./disk.js";
import { History } from "./history.js";
import { chainOf } from "./inspect.js";
import { checkCanGoOn, checkHost, checkLetGo, checkState } from "./invariants.js";
import {
  AccessProcess,
  ControlProcess,
  StorageProcess,
  type Kind,
  type Origin,
  type Output,
  type Process,
} from "./process.js";
import { deepFreeze, snapshot } from "./snapshot.js";

/** The whole system under the checker: machines, disks, a network and one real time. */

/** ms of one tick: each machine gets a beat, and all time-outs of the product are some ticks long. */
export const TICK = 200;
/** Part by which the clock of a machine may go faster or slower; two are apart by twice that at most. */
export const DRIFT = constants.maxClockDriftFraction / 2;
/** Events after which a world without a tick must have come to rest. */
const EVENTS_MOST = 20_000;
/** Ticks within which a calm run must have come to a start state. */
const TICKS_MOST = 100;

export interface Setup {
  readonly name: string;
  /** Control machines by name; the first ones are the seeds. */
  readonly controls: readonly string[];
  readonly seeds: readonly string[];
  readonly access: readonly string[];
  readonly storage: readonly string[];
  readonly policy: Policy;
  /** Machines with their disks that may be lost at once. */
  readonly losses: number;
  /** What every order holds beside its mark. */
  readonly configuration: unknown;
}

export interface Host {
  readonly name: string;
  readonly kind: Kind;
  disk: Disk;
  process: Process | undefined;
  isFrozen: boolean;
  /** Its disk takes writes and syncs none. */
  isStalled: boolean;
  /** ms of its own clock, and by how much it advances in one real ms. */
  clock: number;
  rate: number;
  life: number;
  disks: number;
  /** A planned stop was asked for: it comes back, or it is gone for good once the group lets it go. */
  leaving: "stop" | "retire" | undefined;
  /** ms of its own clock, when that was asked for. */
  leavingSince: number;
  /** Identities of the machines that were up at some moment since then; undefined where it was no member then. */
  upSince: Set<string> | undefined;
}

export interface Message {
  readonly number: number;
  readonly from: string;
  readonly to: string;
  readonly body: DataMessage;
}

export class World {
  readonly setup: Setup;
  readonly hosts = new Map<string, Host>();
  history = new History();
  network: Message[] = [];
  /** Directed links that lose everything: "from>to". */
  cuts = new Set<string>();
  /** Machines whose disk was lost and that are not members of a whole group again. */
  lost = new Set<string>();
  now = 0;
  sent = 0;
  /** Hosts that no other world shares; only these may be changed. */
  readonly #owned = new Set<Host>();

  constructor(setup: Setup) {
    this.setup = deepFreeze(setup);
  }

  /** A world of blank machines, none of them started. */
  static of(setup: Setup): World {
    const world = new World(setup);
    for (const name of setup.controls) world.add(name, "control");
    for (const name of setup.storage) world.add(name, "storage");
    for (const name of setup.access) world.add(name, "access");
    return world;
  }

  /** A copy that goes on by itself; hosts are shared until one of the two changes them. */
  fork(): World {
    this.#owned.clear();
    const copy = new World(this.setup);
    for (const [name, host] of this.hosts) copy.hosts.set(name, host);
    copy.history = snapshot(this.history);
    copy.network = [...this.network];
    copy.cuts = new Set(this.cuts);
    copy.lost = new Set(this.lost);
    copy.now = this.now;
    copy.sent = this.sent;
    return copy;
  }

  /** A host that may be changed here; undefined where there is none of that name. */
  own(name: string): Host | undefined {
    const host = this.hosts.get(name);
    if (host === undefined || this.#owned.has(host)) return host;
    const copy = snapshot(host);
    this.hosts.set(name, copy);
    this.#owned.add(copy);
    return copy;
  }

  ownAll(): Host[] {
    return [...this.hosts.keys()].map((name) => this.own(name)!);
  }

  add(name: string, kind: Kind): void {
    this.hosts.set(name, {
      name,
      kind,
      disk: new Disk(`${name}@1`),
      process: undefined,
      isFrozen: false,
      isStalled: false,
      clock: 0,
      rate: 1,
      life: 0,
      disks: 1,
      leaving: undefined,
      leavingSince: 0,
      upSince: undefined,
    });
  }

  /** A host to look at. */
  host(name: string): Readonly<Host> {
    return this.hosts.get(name)!;
  }

  /** Hosts of one kind, in the order of the setup. */
  of(kind: Kind): Host[] {
    return [...this.hosts.values()].filter((host) => host.kind === kind);
  }

  start(host: Host, founding = false): void {
    host.life += 1;
    const origin: Origin = {
      name: host.name,
      life: `${host.disk.identity}/${host.life}`,
      seeds: this.setup.seeds,
      policy: this.setup.policy,
      founding,
      disk: host.disk,
    };
    host.isFrozen = false;
    host.leaving = undefined;
    this.isUp(host);
    host.process = processOf(host.kind, origin, host.clock);
    this.perform(host, host.process.start(host.clock));
  }

  /** Word for those that leave: a machine that was down or stood still goes on. */
  isUp({ disk }: Host): void {
    for (const { name, leaving, upSince } of this.hosts.values())
      if (leaving !== undefined && upSince !== undefined)
        this.own(name)!.upSince!.add(disk.identity);
  }

  /** Ends a process; of its transactions that were not synced the first ones survive. */
  crash(host: Host, kept: number): void {
    host.process = undefined;
    host.disk.crash(kept);
  }

  /** An empty folder under the same name. */
  wipe(host: Host): void {
    host.process = undefined;
    host.disks += 1;
    host.disk = new Disk(`${host.name}@${host.disks}`);
  }

  /** One tick of real time, and a beat of each machine that runs. */
  tick(): void {
    this.now += TICK;
    const hosts = this.ownAll();
    for (const host of hosts) host.clock += TICK * host.rate;
    for (const host of hosts)
      if (host.process !== undefined && !host.isFrozen)
        this.perform(host, host.process.beat(host.clock));
    this.endLeaving();
    checkState(this);
  }

  /** A machine that leaves ends as soon as the group can do without it, or when its time for that is over. */
  endLeaving(): void {
    for (const host of this.ownAll()) {
      const { process } = host;
      if (host.leaving === undefined || host.isFrozen) continue;
      const isLate = host.clock - host.leavingSince > constants.handOverTimeoutMs;
      const isNeeded = process instanceof ControlProcess && process.core.isNeeded;
      if (!isLate && !isNeeded && host.upSince !== undefined) checkCanGoOn(this, host);
      if (isLate || !isNeeded) this.letGo(host);
    }
  }

  /** The end of a planned stop; who is gone for good gives its disk back. */
  letGo(host: Host): void {
    const { leaving, process } = host;
    host.leaving = undefined;
    this.crash(host, 0);
    if (leaving === "stop") return;
    if (process instanceof ControlProcess && !isMember(process.core.view, host))
      checkLetGo(this, host);
    this.wipe(host);
  }

  /** A planned stop: the others take over what this machine does. */
  leave(host: Host, leaving: "stop" | "retire"): void {
    host.leaving = leaving;
    host.leavingSince = host.clock;
    host.upSince = isMember(chainOf(host)?.view, host) ? this.#identitiesUp() : undefined;
    this.perform(host, host.process!.leave(host.clock));
  }

  #identitiesUp(): Set<string> {
    const found = new Set<string>();
    for (const { process, isFrozen, disk } of this.of("control"))
      if (process !== undefined && !isFrozen) found.add(disk.identity);
    return found;
  }

  deliver(message: Message, keep = false): void {
    if (!keep) this.network = this.network.filter((each) => each !== message);
    const host = this.own(message.to)!;
    if (host.process === undefined) return;
    this.perform(host, host.process.receive(message.body, message.from, host.clock));
  }

  drop(message: Message): void {
    this.network = this.network.filter((each) => each !== message);
  }

  /** Whether a message would be taken if it came now. */
  isDeliverable(message: Message): boolean {
    return !this.host(message.to).isFrozen;
  }

  sync(host: Host): void {
    const write = host.disk.sync();
    if (host.process !== undefined) this.perform(host, host.process.written(write, host.clock));
  }

  inquire(host: Host, ticket: string, command: ControlCommand): void {
    const process = host.process as ControlProcess;
    this.perform(host, process.inquire(ticket, command, host.clock));
  }

  /** Everything under way arrives in its order and everything written is synced, until nothing is left but what waits for a frozen machine. */
  settle(until: (world: World) => boolean = never): void {
    for (let count = 0; count < EVENTS_MOST; count += 1)
      if (this.history.violation !== undefined || until(this) || !this.step()) return;
    this.history.violate("comes to rest", `${EVENTS_MOST} events without a tick`);
  }

  /** The next event of a run without faults; false where there is none. */
  step(): boolean {
    for (const host of this.hosts.values())
      if (hasWrites(host)) {
        this.sync(this.own(host.name)!);
        return true;
      }
    const message = this.network.find((each) => this.isDeliverable(each));
    if (message === undefined) return false;
    this.deliver(message);
    return true;
  }

  /** Time passes with everything delivered. */
  pass(duration: number): void {
    for (let passed = 0; passed < duration; passed += TICK) {
      this.tick();
      this.settle();
    }
  }

  /** Time passes until something holds, and stops at that very event. */
  passUntil(condition: (world: World) => boolean): void {
    for (let ticks = 0; ticks < TICKS_MOST && !condition(this); ticks += 1) {
      this.tick();
      this.settle(condition);
    }
    if (!condition(this)) throw new Error(`not within ${TICKS_MOST} ticks: ${condition.name}`);
  }

  perform(host: Host, outputs: readonly Output[]): void {
    const { toldMark, newest } = this.history;
    for (const output of outputs) {
      deepFreeze(output);
      if (output.kind === "send") this.send(host, output.to, output.message);
      else if (output.kind === "write" || output.kind === "vote") host.disk.unsynced.push(output);
      else if (output.kind === "result") this.history.answered(output.ticket, output.result);
    }
    checkHost(this, host);
    if (this.history.toldMark !== toldMark || this.history.newest !== newest) checkState(this);
  }

  send(host: Host, to: string, body: DataMessage): void {
    if (body.kind === "lease" && body.askedAt > 0) this.granted(host, to, body.view.mark);
    if (!this.hosts.has(to) || this.cuts.has(`${host.name}>${to}`)) return;
    this.sent += 1;
    this.network.push(deepFreeze({ number: this.sent, from: host.name, to, body }));
  }

  granted(host: Host, node: string, mark: number): void {
    const until = this.now + (constants.leaseDurationMs / (1 - DRIFT)) * (1 + DRIFT);
    const granter = host.disk.identity;
    this.history.granted({ node, granter, mark, until }, this.now);
  }
}

function hasWrites(host: Host): boolean {
  return host.disk.unsynced.length > 0 && !host.isFrozen && !host.isStalled;
}

function processOf(kind: Kind, origin: Origin, now: number): Process {
  if (kind === "control") return new ControlProcess(origin, now);
  return kind === "storage" ? new StorageProcess(origin, now) : new AccessProcess(origin, now);
}

function isMember(view: ChainView | undefined, host: Host): boolean {
  return view?.members.some(({ identity }) => identity === host.disk.identity) === true;
}

function never(): boolean {
  return false;
}
