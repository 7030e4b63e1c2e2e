import type { Cut } from "@chutewick/simulator/without";

/**
 * For each invariant a guard of the product that holds it. The guard is taken out of the compiled
 * text as in the simulator's table, and the checker must then find the invariant violated.
 */
export interface GuardRow {
  readonly guard: string;
  readonly invariant: string;
  readonly cuts: readonly Cut[];
  readonly start: string;
}

const agreement = "packages/parts/dist/view.js";
const voters = "packages/parts/dist/view-voters.js";
const chain = "packages/parts/dist/chain.js";
const session = "packages/parts/dist/session.js";
const machine = "packages/control/dist/machine.js";
const control = "packages/control/dist/core.js";

export const guardRows: readonly GuardRow[] = [
  {
    start: "electing",
    guard: "a proposer takes over what was accepted",
    invariant: "one view for a number",
    cuts: [
      { file: agreement, from: "best?.view ?? proposal.desired", to: "proposal.desired" },
      { file: agreement, from: "proposal.promises.size < majority(this.#state.view)", to: "false" },
    ],
  },
  {
    start: "electing",
    guard: "a vote needs a majority",
    invariant: "one view for a number",
    cuts: [
      { file: agreement, from: "proposal.accepts.size < majority(this.#state.view)", to: "false" },
      { file: agreement, from: "proposal.promises.size < majority(this.#state.view)", to: "false" },
    ],
  },
  {
    start: "ordering",
    guard: "confirmed when the tail has it",
    invariant: "a view that serves holds what was confirmed",
    cuts: [
      {
        file: chain,
        from: "commands.push(...this.#propagate(now));\n        if (isSameMember(this.#view.joiner, this.#self)) {",
        to: "if (this.position === 0) commands.push(...this.#commit(this.#durableIndex, now)); commands.push(...this.#propagate(now)); if (isSameMember(this.#view.joiner, this.#self)) {",
      },
      { file: control, from: "request.inForceBy <= covered", to: "true" },
    ],
  },
  {
    start: "stalled",
    guard: "nothing is acted upon before it is synced",
    invariant: "a view that serves holds what was confirmed",
    cuts: [
      {
        file: control,
        from: 'case "send":\n                case "write":\n                    outputs.push(command);',
        to: 'case "send":\n                case "write":\n                    outputs.push(command); if (command.kind === "write") outputs.push(...this.#performChainCommands(this.#chain.writeCompleted(command.ticket, now), now));',
      },
    ],
  },
  {
    start: "deposed",
    guard: "a read probes the whole chain",
    invariant: "a read sees what was confirmed",
    cuts: [
      {
        file: chain,
        from: "this.#probes.set(probe.number, probe);",
        to: 'return [{ kind: "result", ticket, result: { kind: "confirmed", place: this.#lastIndex, value } }];',
      },
      {
        file: control,
        from: "return this.#quorumContact.hasQuorum(this.#agreement.view, now);",
        to: "return true;",
      },
    ],
  },
  {
    start: "formed",
    guard: "an order names the version it builds on",
    invariant: "one order for a version",
    cuts: [
      {
        file: machine,
        from: "if (expected !== undefined && expected !== null && expected !== current.mark)",
        to: "if (false)",
      },
      { file: machine, from: "requestedVersion > current.mark", to: "true" },
    ],
  },
  {
    start: "formed",
    guard: "an order taken before is known by its digest",
    invariant: "a confirmed order stays acknowledged",
    cuts: [{ file: machine, from: "if (acceptedVersion !== undefined)", to: "if (false)" }],
  },
  {
    start: "formed",
    guard: "an order is recorded when it is entered",
    invariant: "a refused order takes no effect",
    cuts: [
      {
        file: machine,
        from: 'return { kind: "CONFLICT", mark: current.mark };',
        to: '{ log.add(key, requestedVersion, time); return { kind: "CONFLICT", mark: current.mark }; }',
      },
    ],
  },
  {
    start: "formed",
    guard: "a lease is a majority's",
    invariant: "nobody serves without a majority's word",
    cuts: [{ file: session, from: "expiries[Math.floor(granters.length / 2)]", to: "expiries[0]" }],
  },
  {
    start: "formed",
    guard: "a change is told when every lease has it",
    invariant: "a confirmed change is in force",
    cuts: [{ file: control, from: "request.inForceBy <= covered", to: "true" }],
  },
  {
    start: "severed",
    guard: "a holder counts its lease shorter than its granter",
    invariant: "a confirmed change is in force",
    cuts: [
      { file: session, from: "grantedMs * (1 - constants.maxClockDriftFraction)", to: "grantedMs" },
    ],
  },
  {
    start: "severed",
    guard: "leases count by where the node stands",
    invariant: "a confirmed change is in force",
    cuts: [
      { file: session, from: "feedIndex = Math.min(feedIndex, session.card.place);", to: ";" },
    ],
  },
  {
    start: "rejoining",
    guard: "a joiner counts when its copy is whole",
    invariant: "a leaving member is let go when others hold all",
    cuts: [
      {
        file: agreement,
        from: "return this.#peers.get(learner.identity)?.copiedMark === view.mark",
        to: "return true",
      },
    ],
  },
  {
    start: "retiring",
    guard: "those who stay have just promised",
    invariant: "a leaving member is let go when others can go on",
    cuts: [
      {
        file: agreement,
        from: "best === undefined && proposal.isHandover && !this.#canOperateAlone(proposal)",
        to: "false",
      },
    ],
  },
  {
    start: "formed",
    guard: "what was taken is not sent again at once",
    invariant: "comes to rest",
    cuts: [
      {
        file: chain,
        from: "if (this.#durableIndex > this.#sentIndex)\n            commands.push(...this.#sendEntries(this.#successor, this.#sentIndex, now));",
        to: "commands.push(...this.#sendEntries(this.#successor, 0, now));",
      },
    ],
  },
  {
    start: "pair",
    guard: "who was voted out still votes",
    invariant: "the group serves again",
    cuts: [
      { file: voters, from: "return view.voters ?? view.members;", to: "return view.members;" },
    ],
  },
  {
    start: "lone",
    guard: "who held all goes on when the lone copy is lost",
    invariant: "the group serves again",
    cuts: [
      { file: chain, from: "return view.holders ?? view.members;", to: "return view.members;" },
    ],
  },
];
