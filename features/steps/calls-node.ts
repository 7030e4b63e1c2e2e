import { configuration, type VersionedConfiguration } from "@chutewick/control";
import {
  RunnerBalancer,
  PassageCallers,
  isForCaller,
  EventBudget,
  PassageRunnerConnections,
  RelayCore,
  type AccessApi,
  type FleetView,
  type LotCall,
  type LotReplyHandler,
  type PassageCaller,
  type PassageEvent,
  type PassageRequest,
  type PassageOutput,
  type NodeIdentity,
} from "@chutewick/data";
import { callerLimits, policy, type RunnerRegistry, type RunnerDescriptor } from "@chutewick/parts";
import { PlatformAccessAdapter, PlatformRunnerProtocol } from "@chutewick/platform";
import { monotonicNow, type Log } from "@chutewick/shell";

/** ms */
const beatEvery = 50;

/** Stands in for what an access node knows of its fleet. */
class KnownFleet implements FleetView {
  configuration: VersionedConfiguration = configuration.blank;
  readonly cards: RunnerDescriptor[] = [];
  readonly registry: RunnerRegistry = { nodes: [], runners: [] };

  serves(): boolean {
    return true;
  }
  holds(): boolean {
    return true;
  }
  runners(): RunnerDescriptor[] {
    return this.cards;
  }
  isClosed(): boolean {
    return false;
  }
}

const standing: NodeIdentity = {
  identity: "node-1",
  address: "here:1",
  kind: "access",
  zone: "a",
  http: "here:2",
};

function takesNoLots(): never {
  throw new Error("this node takes no lots");
}

function ignored(): void {}

const silent = { info: ignored, warn: ignored, error: ignored } as unknown as Log;

/** Adapter, relay and links as an access process puts them together, with a fleet that is known from the start. */
export class AccessNode {
  readonly known = new KnownFleet();
  readonly port: number;
  readonly relay: RelayCore;
  /** Calls on lots that came here. */
  readonly lotCalls: LotCall[] = [];
  #links: PassageRunnerConnections;
  #front: PlatformAccessAdapter;
  #callers = new PassageCallers();
  #tickets = 0;
  #beat: NodeJS.Timeout | undefined;

  constructor(port: number) {
    this.port = port;
    const self = this;
    const choice = new RunnerBalancer(this.known, standing);
    this.relay = new RelayCore(this.known, choice, policy.defaults);
    function mayStart(go: number): string | undefined {
      return self.relay.mayStart(go, monotonicNow());
    }
    function told(go: number, event: PassageEvent): void {
      self.#perform(self.relay.handleAttemptEvent(go, event, monotonicNow()));
    }
    function share(): number {
      return 20;
    }
    this.#links = new PassageRunnerConnections({
      dialect: new PlatformRunnerProtocol(),
      mayStart,
      told,
      share,
      now: monotonicNow,
      eventBudget: new EventBudget(policy.defaults.memory),
    });
    this.#front = new PlatformAccessAdapter({ access: `127.0.0.1:${port}` }, silent);
  }

  async open(): Promise<void> {
    await this.#front.open(this.#desk());
    const self = this;
    function strike(): void {
      self.#perform(self.relay.tick(monotonicNow()));
      self.#links.tick(monotonicNow());
    }
    this.#beat = setInterval(strike, beatEvery);
  }

  async close(): Promise<void> {
    clearInterval(this.#beat);
    this.#links.close();
    await this.#front.close();
  }

  #desk(): AccessApi {
    const self = this;
    function pass(request: PassageRequest, caller: PassageCaller): string {
      self.#tickets += 1;
      const ticket = `t-${self.#tickets}`;
      self.#callers.add(ticket, caller);
      self.#perform(self.relay.arrive(ticket, request, monotonicNow()));
      return ticket;
    }
    function left(ticket: string): void {
      if (self.#callers.remove(ticket))
        self.#perform(self.relay.callerLeft(ticket, monotonicNow()));
    }
    return {
      isReady: () => true,
      takesLots: () => false,
      callerLimits: () => callerLimits.withDefaults(self.known.configuration.value.callers),
      pass,
      callerLeft: left,
      pause: ignored,
      resume: ignored,
      submitLot: takesNoLots,
      readLot: (call, _reading, caller) => self.#refuse(call, caller),
      readItem: (call, _item, caller) => self.#refuse(call, caller),
      endLot: (call, caller) => self.#refuse(call, caller),
    };
  }

  /** Calls on lots are noted, and none is authorized. */
  #refuse(call: LotCall, caller: LotReplyHandler): string {
    this.lotCalls.push(call);
    caller({ kind: "unauthorized" });
    return "refused";
  }

  #perform(outputs: readonly PassageOutput[]): void {
    for (const output of outputs) {
      if (output.kind === "pass-run") this.#links.run(output.go, output.address, output.work);
      else if (output.kind === "pass-abandon") this.#links.abandon(output.go);
      else if (isForCaller(output)) this.#callers.deliver(output);
    }
  }
}
