import { constants } from "@chutewick/parts";
import type { Role, Row, Rows } from "./rows.js";

/** The size to design for, and what is taken where that leaves it open (docs/CAPACITY.md). */
export const letter = {
  nodes: 860,
  /** Of the nodes: in the proportion of the grown sites, about five access nodes to one storage machine. Taken. */
  accessNodes: 715,
  storageNodes: 145,
  runners: 3_600,
  accelerators: 29_000,
  /** Requests and tokens put out a second, at the peak. */
  inquiriesPerSecond: 46_000,
  tokensPerSecond: 15_000_000,
  /** ms between two tokens of a stream. */
  tokenEvery: 38,
  /** Tokens in one event of a stream. Taken: what a step of some 38 ms puts out. */
  tokensPerPiece: 1,
  itemsPerDay: 160_000_000,
  lotsPerDay: 29_000,
  lotItemsMost: 88_000,
  /** Peak over mean of items. Taken. */
  itemsPeak: 3,
  /** Part of all items that the busiest model has. Taken. */
  busiestModel: 0.3,
  /** s that an item runs at its runner, and s that it waits before. Taken. */
  itemRuns: 5,
  itemWaits: 600,
  /** Bytes of an item's body. Taken: 768 tokens of its own at four bytes, and its names. */
  itemBody: 3_300,
  /** Copies of each queue: two losses at once are borne, as on the grown sites. Taken. */
  copies: 4,
  tenants: 8_600,
  /** Ways of one tenant. Taken. */
  waysPerTenant: 2,
  models: 29,
  regions: 5,
  zones: 11,
  changesPerDay: 5_400,
  controlMachines: 7,
  /** What control may cost a node: part of a core, bytes of memory, bytes a second. */
  budgetCore: 0.029,
  budgetMemory: 128_000_000,
  budgetBytes: 26_000,
} as const;

export type Size = { readonly [Key in keyof typeof letter]: number };

/** The same in every proportion, at a part of the size; times, bodies and budgets stay. */
export function scaled(size: Size, part: number): Size {
  const grown: readonly (keyof Size)[] = [
    "nodes",
    "accessNodes",
    "storageNodes",
    "runners",
    "accelerators",
    "inquiriesPerSecond",
    "tokensPerSecond",
    "itemsPerDay",
    "lotsPerDay",
    "lotItemsMost",
    "tenants",
    "models",
    "changesPerDay",
  ];
  const found: { -readonly [Key in keyof Size]: number } = { ...size };
  for (const key of grown) found[key] = size[key] * part;
  return found;
}

export interface Full {
  readonly role: Role;
  readonly what: string;
  readonly value: number;
  readonly unit: string;
  /** What may be spent, where that is said or taken. */
  readonly budget?: number;
}

const secondsPerDay = 86_400;
/** What one loop on one thread has, and a machine's link of 1,000 Mbit/s. */
const oneCore = 1;
const link = 125_000_000;
/** ms of one sync on a slow disk of the grown sites, and of one hop between zones. Taken. */
const slowSync = 12;
const hop = 1;
/** Bytes a second that one disk takes. Taken. */
const diskRate = 100_000_000;
/** Bytes for queues in a storage process of 380 MB, a hundred of which it has when idle (measured). */
const queueMemory = 280_000_000;
/** s within which a change is to be in force. */
const inForce = 6;

/** What today's mechanisms would cost at full size: lines drawn on, none of it run at that size. */
function full(rows: Rows, size: Size): Full[] {
  const found: Full[] = [];
  const at = [size.nodes, size.runners];
  const sessions = (size.nodes * 1_000) / constants.sessionEvery;
  function tell(role: Role, what: string, value: number, unit: string, budget?: number): void {
    found.push({ role, what, value, unit, ...(budget === undefined ? {} : { budget }) });
  }
  const pairs = size.nodes * (size.nodes + size.runners);
  const lease = rows.at("control member", "one lease out", at);
  const beats = 1_000 / constants.beatEvery;
  const registries = ((3 - 1) * 1_000) / constants.greetEvery;
  for (const role of ["control head", "control member"] as const) {
    const cores =
      (sessions * rows.at(role, "one session heard and told back, processor", at) +
        registries * rows.at(role, "one roll heard, processor", at) +
        beats * rows.at(role, "one beat, processor", at)) /
      1_000;
    tell(role, "messages in and out a second, sessions and leases", sessions * 2, "messages/s");
    tell(role, "bytes out a second, leases", sessions * lease, "bytes/s", link);
    tell(
      role,
      "bytes out a second, rolls to two others",
      registries * rows.at(role, "one roll to another control machine", at),
      "bytes/s",
      link,
    );
    tell(role, "processor, cores alone", cores, "cores", oneCore);
    if (rows.find(role, "sessions over sockets, processor a second") !== undefined) {
      tell(
        role,
        "processor, whole process",
        rows.at(role, "sessions over sockets, processor a second", [pairs]) / 1_000,
        "cores",
        oneCore,
      );
    }
    tell(
      role,
      "state: sessions and runners",
      rows.at(role, "memory of sessions and runners", at),
      "bytes",
      size.budgetMemory,
    );
  }
  const ways = size.tenants * size.waysPerTenant;
  const changes = size.changesPerDay / secondsPerDay;
  const look = rows.at("control head", "one look whether a majority took a change, processor", [
    size.nodes * size.nodes,
  ]);
  tell(
    "control head",
    "looks for a majority while a change is under way, processor",
    (look * sessions) / 1_000,
    "cores",
    oneCore,
  );
  tell(
    "control head",
    "one change, processor",
    rows.at("control head", "one change of one way, processor", [ways]),
    "ms",
  );
  const changeBytes = rows.at("access node", "bytes in for one change of one way", [ways]);
  tell(
    "control head",
    "one change sent to all nodes, by the link",
    ((changeBytes / 3) * size.nodes) / link,
    "s",
    inForce,
  );
  /** Leases that a node hears a second, of three control machines. */
  const asked = (3 * 1_000) / constants.sessionEvery;
  tell("access node", "messages of control in and out a second", asked * 2, "messages/s");
  tell(
    "access node",
    "bytes in a second, leases of three control machines, one of them with the roll",
    asked * lease,
    "bytes/s",
    size.budgetBytes,
  );
  tell(
    "access node",
    "processor for control, leases and beats",
    (asked * rows.at("access node", "one lease heard, processor", at) +
      beats * rows.at("access node", "one beat, session told included, processor", at)) /
      1_000,
    "cores",
    size.budgetCore,
  );
  tell(
    "access node",
    "bytes in a second, changes, on the mean",
    changes * changeBytes,
    "bytes/s",
    size.budgetBytes,
  );
  tell(
    "access node",
    "one change, processor",
    rows.at("access node", "one change of one way, processor", [ways]),
    "ms",
  );
  tell(
    "access node",
    "state: the configuration",
    rows.at("access node", "sketch: memory of the configuration", [ways]),
    "bytes",
    size.budgetMemory,
  );
  /** Nodes grow with the traffic, so what one has open does not grow with the size. */
  const requests = size.inquiriesPerSecond / size.accessNodes;
  const open = (size.tokensPerSecond * size.tokenEvery) / 1_000 / size.accessNodes;
  tell(
    "access node",
    "own ways: streams open at once, and may be",
    open,
    "streams",
    constants.liveMost,
  );
  if (rows.find("access node", "live streams, memory") !== undefined)
    tell(
      "access node",
      "own ways: streams open at once, memory of the process",
      rows.at("access node", "live streams, memory", [open]),
      "bytes",
    );
  /** Runners at which one node has work, its streams spread evenly. */
  const told = size.runners * (1 - Math.exp(-open / size.runners));
  tell(
    "access node",
    "passages: runners at which it has work, told in each session",
    told,
    "runners",
  );
  tell(
    "access node",
    "passages: bytes out a second, sessions that tell of it",
    rows.at("access node", "one session out, by runners it has work at", [
      size.runners / size.accessNodes,
      told,
    ]) * asked,
    "bytes/s",
    size.budgetBytes,
  );
  const others =
    rows.find("control member", "one lease out, by runners at which any node has work")
      ?.slopes[1] ?? Number.NaN;
  tell(
    "access node",
    "passages: bytes in a second, leases and sums of others' work",
    asked * (lease + others * size.runners),
    "bytes/s",
    size.budgetBytes,
  );
  const heardTold = rows.rows.find(isHeardTold);
  tell(
    "control member",
    "passages: sessions with what nodes have work at, processor more",
    (sessions * ((heardTold?.slopes[1] ?? Number.NaN) * told)) / 1_000,
    "cores",
    oneCore,
  );
  const looks = 1_000 / constants.lookEvery;
  tell(
    "access node",
    "passages: looks at all nodes' work, processor",
    (looks *
      rows.at(
        "access node",
        "passages: one look at what all nodes have under way, processor",
        at,
      )) /
      1_000,
    "cores",
    oneCore,
  );
  tell(
    "access node",
    "passages: choices of a runner among those of a model, processor",
    (requests *
      rows.at("access node", "passages: choice of a runner and start, processor", [
        size.runners / letter.models,
      ])) /
      1_000,
    "cores",
    oneCore,
  );
  tell(
    "access node",
    "passages: choices of a runner among all, processor",
    (requests *
      rows.at("access node", "passages: choice of a runner and start, processor", [size.runners])) /
      1_000,
    "cores",
    oneCore,
  );
  const passed = rows.find("access node", "passages: streams, processor a second");
  if (passed !== undefined) {
    tell(
      "access node",
      "passages: live streams, processor",
      rows.at("access node", passed.what, [
        requests,
        size.tokensPerSecond / size.tokensPerPiece / size.accessNodes,
      ]) / 1_000,
      "cores",
      oneCore,
    );
    tell(
      "access node",
      "passages: live streams, memory of the process",
      rows.at("access node", "passages: streams, memory", [open]),
      "bytes",
    );
  }
  tell(
    "access node",
    "own ways: choices of a runner, processor",
    (requests *
      rows.at("access node", "own ways: choice of a runner and start of a stream, processor", [
        size.runners,
        size.runners * open,
      ])) /
      1_000,
    "cores",
    oneCore,
  );
  const pieces = size.tokensPerSecond / size.tokensPerPiece / size.accessNodes;
  if (rows.find("access node", "live streams, processor a second") !== undefined)
    tell(
      "access node",
      "own ways: live streams, processor",
      rows.at("access node", "live streams, processor a second", [requests, pieces]) / 1_000,
      "cores",
      oneCore,
    );
  tell(
    "access node",
    "control away: messages both ways",
    rows.at("access node", "control away: messages both ways a second", [size.nodes]),
    "messages/s",
  );
  tell(
    "access node",
    "control away: bytes both ways",
    rows.at("access node", "control away: bytes both ways a second", [size.nodes]),
    "bytes/s",
    size.budgetBytes,
  );
  tell(
    "access node",
    "control away: processor",
    rows.at("access node", "control away: processor a second", [size.nodes]) / 1_000,
    "cores",
    size.budgetCore,
  );
  const mean = size.itemsPerDay / secondsPerDay;
  const items = mean * size.itemsPeak;
  const busiest = items * size.busiestModel;
  const flow = [busiest, busiest * size.itemBody];
  /** One step passes the syncs of all copies in a row and a hop more, and a dispatcher asks for one prompt after another. */
  const step = size.copies * slowSync + (size.copies + 1) * hop;
  tell(
    "dispatcher",
    "own ways: steps a second that the busiest queue needs, and that two dispatchers can ask for",
    busiest,
    "steps/s",
    (constants.dispatchersPerQueue * 1_000) / step,
  );
  tell(
    "dispatcher",
    "own ways: items under way that the busiest queue needs, and may have",
    busiest * size.itemRuns,
    "items",
    constants.dispatchersPerQueue * constants.dispatchWidth,
  );
  const draws =
    rows.find("dispatcher", "idle queue of a passage: messages a second")?.slopes[0] ?? Number.NaN;
  tell(
    "dispatcher",
    "passages: idle queues, messages of all machines",
    draws * size.accessNodes * size.models,
    "messages/s",
  );
  tell(
    "storage owner",
    "passages: one idle queue, processor of owner and copies, cores alone",
    rows.at("storage owner", "idle queue of a passage: processor a second, owner and copies", [
      size.accessNodes,
    ]) / 1_000,
    "cores",
    oneCore,
  );
  tell(
    "storage owner",
    "passages: one idle queue, processor of the owner, by the wire alone",
    (draws *
      size.accessNodes *
      rows.at("access node", "one message at one end of the wire, processor with sockets", [150])) /
      1_000,
    "cores",
    oneCore,
  );
  tell(
    "dispatcher",
    "own ways: idle queues, messages of all machines",
    rows.at("dispatcher", "idle queues: messages of all machines a second", [size.models]),
    "messages/s",
  );
  tell(
    "dispatcher",
    "passages: its part of all items, messages in and out",
    (items / size.accessNodes) *
      (rows.find("dispatcher", "passages: messages in and out of items")?.slopes[0] ?? Number.NaN),
    "messages/s",
  );
  tell(
    "dispatcher",
    "own ways: its part of all items, messages in and out",
    (mean / size.accessNodes) *
      size.itemsPeak *
      (rows.find("dispatcher", "messages in and out of items")?.slopes[0] ?? Number.NaN),
    "messages/s",
  );
  if (rows.find("dispatcher", "lots, processor a second") !== undefined)
    tell(
      "dispatcher",
      "own ways: its part of all items, processor",
      ((items / size.accessNodes) *
        rows.find("dispatcher", "lots, processor a second")!.slopes[0]!) /
        1_000,
      "cores",
    );
  tell(
    "storage owner",
    "own ways: entries a second of the busiest queue",
    busiest * 2,
    "entries/s",
  );
  tell(
    "storage owner",
    "busiest queue: processor of the owner, without the disk",
    rows.at("storage owner", "passages: processor, without the disk of items", flow) / 1_000,
    "cores",
    oneCore,
  );
  if (rows.find("storage owner", "lots, processor a second") !== undefined)
    tell(
      "storage owner",
      "busiest queue: processor of the owner, whole process",
      rows.at("storage owner", "lots, processor a second", [busiest]) / 1_000,
      "cores",
      oneCore,
    );
  tell(
    "storage owner",
    "busiest queue: messages in and out",
    rows.at("storage owner", "passages: messages in and out of items", flow),
    "messages/s",
  );
  tell(
    "storage owner",
    "busiest queue: bytes out",
    rows.at("storage owner", "passages: bytes out of items", flow),
    "bytes/s",
    link,
  );
  if (rows.find("storage replica", "lots, processor a second") !== undefined)
    tell(
      "storage replica",
      "busiest queue: processor of one copy, whole process",
      rows.at("storage replica", "lots, processor a second", [busiest]) / 1_000,
      "cores",
      oneCore,
    );
  tell(
    "storage replica",
    "busiest queue: messages in and out",
    rows.at("storage replica", "passages: messages in and out of items", flow),
    "messages/s",
  );
  tell(
    "storage replica",
    "busiest queue: bytes written to the disk of one copy",
    busiest * rows.at("storage replica", "bytes written to the disk for one item", [size.itemBody]),
    "bytes/s",
    diskRate,
  );
  tell(
    "storage owner",
    "the largest lot in one entry: items",
    size.lotItemsMost,
    "items",
    constants.lotItemsMost,
  );
  tell(
    "storage owner",
    "the largest lot in one entry: on the wire",
    rows.at("storage owner", `a lot in one entry, ${letter.itemBody} bytes a body: on the wire`, [
      size.lotItemsMost,
    ]),
    "bytes",
    constants.messageMost,
  );
  tell(
    "storage owner",
    "the largest lot in one entry: until told",
    rows.at("storage owner", `a lot in one entry, ${letter.itemBody} bytes a body: until told`, [
      size.lotItemsMost,
    ]),
    "ms",
    constants.ownerPatience,
  );
  const waiting = mean * size.itemWaits;
  tell("storage owner", "items that wait, all queues", waiting, "items");
  tell(
    "storage owner",
    "busiest queue: memory of what waits",
    waiting *
      size.busiestModel *
      rows.at("storage replica", "memory of one waiting item", [size.itemBody]),
    "bytes",
    queueMemory,
  );
  tell(
    "storage owner",
    "busiest queue: one step, processor",
    rows.at("storage owner", "one step of the queue, processor", [waiting * size.busiestModel]),
    "ms",
  );
  tell(
    "runner link",
    "new connections a second, one for each inquiry and item",
    size.inquiriesPerSecond + items,
    "connections/s",
  );
  tell(
    "runner link",
    "connections open at one runner",
    (open * size.accessNodes + items * size.itemRuns) / size.runners,
    "connections",
  );
  tell(
    "runner link",
    "announcements a second, all runners",
    (size.runners * 1_000) / constants.announceEvery,
    "messages/s",
  );
  const announcing = rows.find("runner link", "announcing, processor of the access node a second");
  if (announcing !== undefined)
    tell(
      "runner link",
      "announcements at one access node, processor",
      (announcing.slopes[0]! * size.runners) / size.accessNodes / 1_000,
      "cores",
      size.budgetCore,
    );
  return found;
}

function isHeardTold(row: Row): boolean {
  return (
    row.role === "control member" &&
    row.what.startsWith("one session heard and told back, by runners it tells of")
  );
}

/** The part of the size at which something first costs more than it may; undefined where it does not up to the whole size, 0 where it does at once. */
export function breaksAt(rows: Rows, size: Size, place: number): number | undefined {
  function over(part: number): boolean {
    const { value, budget } = full(rows, scaled(size, part))[place]!;
    return budget !== undefined && value > budget;
  }
  if (!over(1)) return undefined;
  let [least, most] = [0, 1];
  for (let turn = 0; turn < 40; turn += 1) {
    const part = (least + most) / 2;
    if (over(part)) most = part;
    else least = part;
  }
  return most;
}

/** Prompts or results that one entry takes, items that one part of a queue is made for, and items of one piece of a lot. Proposed. */
const batch = 8;
const partRate = 200;
const pieceItems = 300;

/** What each role would pay with the mechanisms proposed: cells by region, relays, differences, parts, bodies beside (docs/CAPACITY.md). */
function proposed(rows: Rows, size: Size): Full[] {
  const found: Full[] = [];
  function tell(role: Role, what: string, value: number, unit: string, budget?: number): void {
    found.push({ role, what, value, unit, ...(budget === undefined ? {} : { budget }) });
  }
  function rest(role: Role, what: string): number {
    return Math.max(0, rows.find(role, what)?.rest ?? Number.NaN);
  }
  function wire(messages: number, bytes: number): number {
    return (
      messages *
      rows.at("access node", "one message at one end of the wire, processor with sockets", [
        messages === 0 ? 0 : bytes / messages,
      ])
    );
  }
  const cell = size.runners / size.regions;
  const nodesOfRelay = (2 * size.nodes) / size.controlMachines;
  const requests = size.inquiriesPerSecond / size.accessNodes;
  const ways = size.tenants * size.waysPerTenant;
  const mean = size.itemsPerDay / secondsPerDay;
  const items = mean * size.itemsPeak;
  const parts = size.models + Math.ceil(items / partRate);
  /** Starts and ends within a second, at most one count for each. */
  const changed = Math.min(cell, requests * 2);
  const session = rows.at("access node", "sketch: one session with counts that changed", [changed]);
  const lease = rows.at("access node", "sketch: one lease without a roll", [size.controlMachines]);
  const load = rows.at("access node", "sketch: burdens of a cell in one message", [cell]);
  const sum = rows.at("access node", "sketch: sums of other regions in one message", [
    size.models * (size.regions - 1),
  ]);
  const change = rows.at("access node", "sketch: one change by difference", [1]);
  /** Changes a second that the feed brings: configurations, machines that fail or are restarted, one release of all runners a day. */
  const news = (size.changesPerDay + 575 + size.runners) / secondsPerDay;
  /** Standings of parts: a step of the pace every ten seconds each. Taken. */
  const standings = parts / 10;
  const whole = rows.at("access node", "bytes in for one change of one way", [ways]) / 3;
  const held = rows.at("access node", "sketch: memory of the configuration", [ways]);
  const cards = rows.at("access node", "sketch: memory of the cards of a cell", [cell]);
  const heard = rest("control member", "one session heard and told back, processor");

  /** The head: entries of control state down a chain of three, and what each relay has taken. */
  const entries = news + standings;
  const headMessages = entries * 5 + size.controlMachines * 4;
  const control =
    held + rows.at("control head", "memory of sessions and runners", [size.nodes, size.runners]);
  tell("control head", "state", control, "bytes");
  tell("control head", "messages in and out a second", headMessages, "messages/s");
  tell(
    "control head",
    "bytes out a second",
    entries * change * 2 + size.controlMachines * 4 * lease,
    "bytes/s",
    link,
  );
  tell(
    "control head",
    "processor: changes by record, plans of all parts, wire",
    (entries * rest("control head", "one change of one way, processor") +
      (1_000 / constants.planEvery) *
        rows.at("control head", "one beat by queues, 240 runners, processor", [parts]) +
      wire(headMessages, headMessages * change)) /
      1_000,
    "cores",
    oneCore,
  );
  tell(
    "control head",
    "memory of the process",
    rest("control head", "process, memory") + control,
    "bytes",
  );

  /** Every control machine is a relay: two relays hold each node's session, one of them tells it loads and sums. */
  const relayMessages = nodesOfRelay * 3;
  const relayBytes = nodesOfRelay * (lease + (load + sum) / 2 + news * change);
  tell("control member", "state", control + cards, "bytes");
  tell("control member", "messages in and out a second, to nodes", relayMessages, "messages/s");
  tell("control member", "bytes out a second, to nodes", relayBytes, "bytes/s", link);
  tell(
    "control member",
    "beats of runners a second, 1.2 s apart",
    size.runners / 1.2 / size.controlMachines,
    "messages/s",
  );
  const announcing =
    (rows.find("runner link", "announcing, processor of the access node a second")?.slopes[0] ??
      Number.NaN) /
    (1_000 / constants.announceEvery);
  const beats = (announcing * size.runners) / 1.2 / size.controlMachines;
  tell(
    "control member",
    "processor: sessions, beats of runners, wire",
    (nodesOfRelay * heard + beats + wire(relayMessages, relayBytes + nodesOfRelay * session)) /
      1_000,
    "cores",
    oneCore,
  );
  if (
    rows.find("control member", "sketch over sockets: a relay, processor a second") !== undefined
  ) {
    tell(
      "control member",
      "processor of sessions, leases and burdens, measured over sockets",
      rows.at("control member", "sketch over sockets: a relay, processor a second", [
        nodesOfRelay,
      ]) / 1_000,
      "cores",
      oneCore,
    );
    tell(
      "access node",
      "processor for control, measured over sockets: sessions with two relays",
      (2 *
        (rows.find(
          "access node",
          "sketch over sockets: nodes of one relay in one process, processor a second",
        )!.slopes[0] ?? 0)) /
        1_000,
      "cores",
      size.budgetCore,
    );
  }
  tell(
    "control member",
    "one change to its nodes, by the link",
    (nodesOfRelay * change) / link,
    "s",
    inForce,
  );
  tell(
    "control member",
    "the whole configuration to all its nodes, by the link",
    (nodesOfRelay * whole) / link,
    "s",
  );
  tell(
    "control member",
    "memory of the process",
    rest("control member", "process, memory") + control + cards,
    "bytes",
  );

  const waiting = mean * size.itemWaits;
  const waitsOfPart = (waiting * partRate) / items;
  const ledger = rows.at(
    "storage owner",
    "sketch: memory of waiting items whose bodies lie beside the ledger",
    [waitsOfPart],
  );
  const flow = [partRate, partRate * size.itemBody];
  for (const role of ["storage owner", "storage replica"] as const) {
    tell(role, "parts of queues in all, of at most 200 items a second", parts, "parts");
    tell(
      role,
      "copies of parts at one machine",
      (parts * size.copies) / size.storageNodes,
      "copies",
    );
    tell(role, "state of one part in memory, bodies beside the ledger", ledger, "bytes");
    tell(role, "state of one part on disk, bodies", waitsOfPart * size.itemBody, "bytes");
    tell(
      role,
      "entries a second of one part, eight prompts or results in each",
      (2 * partRate) / batch,
      "entries/s",
    );
    tell(
      role,
      "messages in and out a second, one part, at most: as passages have it today",
      (rows.find(role, "passages: messages in and out of items")?.slopes[0] ?? Number.NaN) *
        partRate,
      "messages/s",
    );
    tell(
      role,
      "bytes out a second, one part",
      rows.at(role, "passages: bytes out of items", flow),
      "bytes/s",
      link,
    );
    if (rows.find(role, "lots, processor a second") !== undefined)
      tell(
        role,
        "processor of one part, at most: with today's one item in each entry",
        rows.at(role, "lots, processor a second", [partRate]) / 1_000,
        "cores",
        oneCore,
      );
    tell(
      role,
      "bytes to the disk a second, one part: each body once, twice its bytes",
      partRate * size.itemBody * 2,
      "bytes/s",
      diskRate,
    );
    if (rows.find(role, "process, memory") !== undefined)
      tell(
        role,
        "memory of the process",
        rest(role, "process, memory") + (ledger * parts * size.copies) / size.storageNodes,
        "bytes",
        queueMemory + 100_000_000,
      );
  }
  tell(
    "storage owner",
    "the largest lot: pieces of 300 items",
    Math.ceil(size.lotItemsMost / pieceItems),
    "pieces",
  );
  tell(
    "storage owner",
    "the largest lot until told, nine pieces at once",
    (Math.ceil(size.lotItemsMost / pieceItems) / 9) *
      rows.at("storage owner", `a lot in one entry, ${letter.itemBody} bytes a body: until told`, [
        pieceItems,
      ]),
    "ms",
  );

  /** Two relays hear the session and grant; one tells loads and sums. */
  const nodeBytes = 2 * (session + lease) + load + sum + news * change;
  const nodeMessages = 6 + news;
  tell(
    "access node",
    "state for control: configuration, and cards of the cell",
    held + cards,
    "bytes",
    size.budgetMemory,
  );
  tell("access node", "messages of control in and out a second", nodeMessages, "messages/s");
  tell(
    "access node",
    "bytes of control in and out a second",
    nodeBytes,
    "bytes/s",
    size.budgetBytes,
  );
  tell(
    "access node",
    "processor for control",
    ((1_000 / constants.beatEvery) *
      rest("access node", "one beat, session told included, processor") +
      wire(nodeMessages, nodeBytes) +
      rows.at("access node", "sketch: burdens of a cell read, processor", [cell])) /
      1_000,
    "cores",
    size.budgetCore,
  );
  const open = (size.tokensPerSecond * size.tokenEvery) / 1_000 / size.accessNodes;
  const pieces = size.tokensPerSecond / size.tokensPerPiece / size.accessNodes;
  tell("access node", "streams open at once", open, "streams");
  if (rows.find("access node", "passages: streams, processor a second") !== undefined) {
    tell("access node", "pieces a second", pieces, "pieces/s");
    tell(
      "access node",
      "processor for streams on passages",
      rows.at("access node", "passages: streams, processor a second", [requests, pieces]) / 1_000,
      "cores",
      oneCore,
    );
    tell(
      "access node",
      "memory of the process, with its streams",
      rows.at("access node", "passages: streams, memory", [open]) + held + cards,
      "bytes",
    );
  }

  const own = items / size.accessNodes;
  tell(
    "dispatcher",
    "state: items under way at one access node, and their bodies",
    own * size.itemRuns * (size.itemBody + 400),
    "bytes",
  );
  tell("dispatcher", "items under way at one access node", own * size.itemRuns, "items");
  tell(
    "dispatcher",
    "messages in and out a second, eight in each, signs of life",
    (own * 4) / batch + 4,
    "messages/s",
  );
  tell(
    "dispatcher",
    "bytes in a second",
    (own * rows.at("dispatcher", "sketch: bytes in for so many prompts in one step", [batch])) /
      batch,
    "bytes/s",
  );
  tell(
    "dispatcher",
    "bytes out a second",
    (own * rows.at("dispatcher", "sketch: bytes out for so many results in one entry", [batch])) /
      batch,
    "bytes/s",
  );
  const lots = rows.find("dispatcher", "lots, processor a second")?.slopes[0];
  if (lots !== undefined)
    tell(
      "dispatcher",
      "processor, at most: with today's one item in each errand",
      (own * lots) / 1_000,
      "cores",
    );
  tell("dispatcher", "wake-ups in place of polls, all parts", parts * 2, "messages/s");

  tell(
    "runner link",
    "state at a node: one card",
    rest("access node", "sketch: memory of the cards of a cell") === 0
      ? cards / cell
      : (cards - rest("access node", "sketch: memory of the cards of a cell")) / cell,
    "bytes",
  );
  tell(
    "runner link",
    "beats of all runners a second, 1.2 s apart",
    size.runners / 1.2,
    "messages/s",
  );
  tell("runner link", "processor of one beat where it is heard", announcing, "ms");
  tell(
    "runner link",
    "new connections a second at one access node, one for each go",
    (size.inquiriesPerSecond + items) / size.accessNodes,
    "connections/s",
  );
  tell(
    "runner link",
    "connections open at one runner",
    (open * size.accessNodes + items * size.itemRuns) / size.runners,
    "connections",
  );
  tell(
    "runner link",
    "goodbyes of a release of all runners in an hour, at each node",
    (size.runners / 3_600) * rows.at("runner link", "sketch: goodbyes in the feed", [1]),
    "bytes/s",
    size.budgetBytes,
  );
  return found;
}

function shown(value: number): string {
  if (!Number.isFinite(value)) return "not measured";
  if (value !== 0 && Math.abs(value) < 0.001) return value.toExponential(2);
  if (Math.abs(value) >= 10_000_000) return `${(value / 1_000_000).toFixed(1)} M`;
  if (Math.abs(value) >= 10_000) return `${(value / 1_000).toFixed(1)} k`;
  return String(Number(value.toPrecision(3)));
}

function row(each: Row): string {
  const slopes: string[] = [];
  for (const [place, slope] of each.slopes.entries())
    slopes.push(`${shown(slope)} × ${each.by[place]!}`);
  const sizes: string[] = [];
  for (const { at, value } of each.points)
    sizes.push(`${at.map(shownOne).join(", ")}: ${shown(value)}`);
  return `| ${each.role} | ${each.what} | ${shown(each.rest)} + ${slopes.join(" + ")} ${each.unit} | ${shown(each.fit)} | ${sizes.join("; ")} |`;
}

function table(
  title: string,
  lines: readonly Full[],
  broken: ((place: number) => string) | undefined,
): string[] {
  const found = [
    "",
    `| role | ${title} | value | may be |${broken === undefined ? "" : " breaks at |"}`,
    `| --- | --- | --- | --- |${broken === undefined ? "" : " --- |"}`,
  ];
  for (const [place, { role, what, value, unit, budget }] of lines.entries()) {
    found.push(
      `| ${role} | ${what} | ${shown(value)} ${unit} | ${budget === undefined ? "" : shown(budget)} |${broken === undefined ? "" : ` ${broken(place)} |`}`,
    );
  }
  return found;
}

function markdown(rows: Rows, size: Size): string {
  const lines = [
    "| role | what | line | fit | sizes: measured |",
    "| --- | --- | --- | --- | --- |",
  ];
  for (const each of rows.rows) lines.push(row(each));
  function broken(place: number): string {
    const part = breaksAt(rows, size, place);
    if (part === undefined) return "";
    const nodes = size.nodes * part;
    return nodes < 1 ? "any size" : `${Math.floor(nodes)} nodes (${shown(part * 100)} %)`;
  }
  lines.push(
    ...table("at full size with today's mechanisms", full(rows, size), broken),
    ...table("at full size as proposed", proposed(rows, size), undefined),
  );
  return `${lines.join("\n")}\n`;
}

export const told = { full, proposed, markdown };

function shownOne(value: number): string {
  return shown(value);
}
