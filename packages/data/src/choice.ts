/**
 * Load balancer for passages: chooses the runner that a live request or an item of a lot (a batch job) is sent to
 * (docs/design.md §13.4). The state of the runners comes from the traffic of this node and from the loads that the access
 * nodes exchange through their sessions.
 */
import { constants, type RunnerDescriptor } from "@chutewick/parts";
import { ChoiceCounts } from "./choice-counts.js";
import type { FleetView } from "./fleet-view.js";
import type { NodeIdentity } from "./membership.js";
import type { PassageRequest } from "./dialect.js";

/** The runner, with its incarnation, that an attempt is sent to. */
export interface ChosenRunner {
  readonly runner: string;
  readonly incarnation: number;
  readonly address: string;
}

/**
 * How an attempt ended: `refused`: the runner did not run it; `unsent`: no byte was sent; `broken`: the connection failed
 * before the result was whole; `left`: the caller went away.
 */
export type AttemptOutcome = "done" | "refused" | "unsent" | "broken" | "failed" | "left";

/** One incarnation of a runner, as observed by this node. */
interface RunnerState {
  card: RunnerDescriptor;
  /** Hash of the runner id, for the rendezvous hashing of shared prompt parts. */
  readonly hash: number;
  /** Maximum number of connections from this node. */
  connections: number;
  /** Live attempts of this node in progress at the runner. */
  live: number;
  /** Item attempts of this node in progress at the runner. */
  items: number;
  /** Live and item attempts of all other nodes, as last reported. */
  othersLive: number;
  othersItems: number;
  /** Prefill backlog in ms: prompts sent from this node that have produced no output yet. */
  reading: number;
  /** Whether the runner is set apart for long prompts and items; short live requests go to the others. */
  servesLong: boolean;
  /** Moving average of the time to first output in ms, for requests without a token count. */
  typicalFirstOutputMs: number;
  /** Moving average of the measured over the expected time to first output: 2 is twice as slow as expected. */
  slowness: number;
  /** Time of the last response of the runner, or of the start of the first attempt after an idle time. */
  heardAt: number;
  /**
   * Time of the last output of an item that is not its first. Kept apart because it does not show that the runner starts new
   * work promptly.
   */
  itemHeardAt: number;
  /** Still announced, and not deregistered. */
  isAnnounced: boolean;
  /** The runner is avoided until this time. */
  avoidedUntil: number;
  /** Consecutive failures, which lengthen the back-off. */
  troubles: number;
}

/** An attempt in progress: one request sent to one runner. */
interface Attempt {
  readonly state: RunnerState;
  readonly item: boolean;
  readonly startedAt: number;
  /** Estimated prefill time in ms; undefined without a token count. */
  readonly prefillMs: number | undefined;
  readonly isLong: boolean;
  /** Expected time to first output in ms. */
  readonly expected: number;
  readonly shared: SharedParts | undefined;
  /** Whether the first output has arrived. */
  hasOutput: boolean;
}

/** The properties of a request that the choice depends on. */
interface Prompt {
  /** Prompt size in tokens; undefined without a token count. */
  readonly tokens: number | undefined;
  readonly shared: SharedParts | undefined;
  /** The runner that rendezvous hashing assigns the shared parts to; the same at every node. */
  readonly home: RunnerState | undefined;
  readonly isLong: boolean;
  readonly item: boolean;
}

/** How the runners of a pool are split between short live requests and the rest. */
interface PoolPartition {
  /** Slots taken by short live requests, smoothed. */
  shortLoad: number;
  /** Long prompts of this node in progress, smoothed. */
  longLoad: number;
  /** Long prompts of this node in progress now. */
  longCount: number;
  /** Time at which a long prompt last started or ended. */
  lastLongAt: number;
  /** Number of runners for short live requests, the first ones by hash; infinite while the pool is not split. */
  shortRunners: number;
  /** Time of the last update, for the smoothing. */
  at: number;
}

/** The parts of a prompt that other prompts may share: all but the last. */
interface SharedParts {
  readonly hash: number;
  /** Size in tokens. */
  readonly size: number;
}

/** Keeps the state of the runners and chooses among them. Times are in ms of the monotonic clock. */
export class RunnerBalancer {
  readonly counts = new ChoiceCounts();
  #fleet: FleetView;
  #node: NodeIdentity;
  #lastAttempt = 0;
  #attempts = new Map<number, Attempt>();
  /** By runner and incarnation. */
  #states = new Map<string, RunnerState>();
  #pools = new Map<string, RunnerState[]>();
  #addresses = new Map<string, RunnerState>();
  #runners = new Map<string, RunnerState>();
  /** By hash of shared parts: the runners that prefilled them for this node recently, and when. */
  #prefilledAt = new Map<number, Map<string, number>>();
  #partitions = new Map<string, PoolPartition>();
  #refreshedAt = Number.NEGATIVE_INFINITY;
  #nodes = 1;
  #randomState: number;
  #openConnections: (address: string) => number = noConnections;

  constructor(fleet: FleetView, node: NodeIdentity) {
    this.#fleet = fleet;
    this.#node = node;
    this.#randomState = (hashText(node.identity) | 1) >>> 0;
  }

  /** @param openConnections returns the number of open connections to an address, including those in use */
  useConnections(openConnections: (address: string) => number): void {
    this.#openConnections = openConnections;
  }

  get zone(): string {
    return this.#node.zone;
  }

  /** Returns the next attempt number of this process. */
  nextAttemptNumber(): number {
    this.#lastAttempt += 1;
    return this.#lastAttempt;
  }

  /**
   * Returns the runner of a pool with the lowest expected time to first output, excluding those in `tried`. Items only get
   * slots that live requests leave free.
   */
  choose(
    pool: string,
    request: PassageRequest,
    tried: ReadonlySet<string>,
    item: boolean,
    now: number,
  ): ChosenRunner | undefined {
    this.#refresh(now);
    const prompt = this.#describePrompt(pool, request, item);
    let best: RunnerState | undefined;
    let lowestCost = Number.POSITIVE_INFINITY;
    for (const state of this.#pools.get(pool) ?? []) {
      const { card } = state;
      if (tried.has(card.id) || !servesModel(card, request.model)) continue;
      if (
        slotsTaken(state, item) >=
        card.seats *
          (item ? itemSlotPart(state, this.#isPartitioned(pool)) : constants.maxSlotOvercommit)
      )
        continue;
      let cost =
        this.#expectedMs(state, prompt, now) *
        (1 + this.#random() * constants.choiceJitterFraction);
      if (prompt.tokens !== undefined) cost += misplacementPenalty(state, prompt);
      if (card.zone !== this.#node.zone) cost += constants.otherZoneCostMs;
      if (now < state.avoidedUntil || this.#isSilent(state, now))
        cost += constants.avoidedRunnerCostMs;
      if (cost < lowestCost) {
        lowestCost = cost;
        best = state;
      }
    }
    if (best === undefined) this.counts.noRunner += 1;
    return best === undefined
      ? undefined
      : { runner: best.card.id, incarnation: best.card.incarnation, address: best.card.url };
  }

  #describePrompt(pool: string, request: PassageRequest, item: boolean): Prompt {
    const tokens = promptTokens(request);
    const isLong = !item && tokens !== undefined && tokens >= constants.minLongPromptTokens;
    const shared = sharedPartsOf(request);
    return {
      tokens,
      shared,
      home:
        shared === undefined ? undefined : homeRunner(shared, this.#pools.get(pool) ?? [], isLong),
      isLong,
      item,
    };
  }

  /** Expected time to first output in ms. */
  #expectedMs(state: RunnerState, prompt: Prompt, now: number): number {
    const { seats } = state.card;
    const occupied = this.#estimatedLoad(state, prompt.item);
    const excess = Math.max(0, occupied + 1 - seats) / seats;
    if (prompt.tokens === undefined)
      return (
        state.typicalFirstOutputMs * (1 + occupied / seats + excess * constants.queuedRequestWeight)
      );
    return (
      (this.#prefillMs(state, prompt, now) +
        state.reading +
        occupied * constants.concurrentRequestCostMs +
        excess * constants.slotWaitMs +
        constants.minFirstOutputMs) *
      state.slowness
    );
  }

  /**
   * Estimated slots taken. The loads reported by other nodes are about 0.5 s old, so during a surge the other nodes are
   * assumed to send work in proportion to this node.
   */
  #estimatedLoad(state: RunnerState, item: boolean): number {
    return (
      slotsTaken(state, item) +
      Math.max(
        0,
        state.live * (this.#nodes - 1) * constants.assumedPeerLoadFraction - state.othersLive,
      )
    );
  }

  /**
   * Prefill time in ms: a linear part for the tokens that the runner has not cached, and a quadratic part because each of
   * them attends to all tokens before it.
   */
  #prefillMs(state: RunnerState, { tokens, shared, home }: Prompt, now: number): number {
    const promptSize = tokens ?? 0;
    const cachedSize =
      shared !== undefined && (home === state || this.#wasPrefilled(shared, state, now))
        ? Math.min(shared.size, promptSize)
        : 0;
    const uncachedSize = promptSize - cachedSize;
    return (
      uncachedSize / constants.promptTokensPerMs +
      (uncachedSize * (promptSize - uncachedSize / 2)) / constants.promptTokenPairsPerMs
    );
  }

  #wasPrefilled(shared: SharedParts, state: RunnerState, now: number): boolean {
    const at = this.#prefilledAt.get(shared.hash)?.get(state.card.id);
    return at !== undefined && now - at < constants.prefixRetentionMs;
  }

  /** Whether work is in progress but the runner has sent nothing for longer than the prefill should take. */
  #isSilent(state: RunnerState, now: number): boolean {
    return (
      state.live + state.items > 0 &&
      now - state.heardAt >
        state.reading +
          (state.card.models.length > 0
            ? constants.quietModelRunnerTimeoutMs
            : constants.quietRunnerTimeoutMs)
    );
  }

  /** Whether the runner of an attempt has stopped responding to all work of this node. */
  isRunnerSilent(attemptNumber: number, now: number): boolean {
    const attempt = this.#attempts.get(attemptNumber);
    return attempt !== undefined && this.#isSilent(attempt.state, now);
  }

  /** Like `isRunnerSilent`, but later events of items count as responses, too. */
  isRunnerUnresponsive(attemptNumber: number, now: number): boolean {
    const attempt = this.#attempts.get(attemptNumber);
    if (attempt === undefined || !this.#isSilent(attempt.state, now)) return false;
    return now - attempt.state.itemHeardAt > constants.quietModelRunnerTimeoutMs;
  }

  /** Whether any runner of a pool is announced. */
  hasRunners(pool: string, now: number): boolean {
    this.#refresh(now);
    return this.#pools.has(pool);
  }

  /** Whether this incarnation of a runner is still announced and not deregistered. */
  isAnnounced(chosen: ChosenRunner, now: number): boolean {
    this.#refresh(now);
    return (
      this.#states.get(incarnationKey(chosen.runner, chosen.incarnation))?.isAnnounced === true
    );
  }

  /** Maximum number of connections to the runner at an address: this node's part of the limit of the pool. */
  connectionLimit(address: string): number {
    return this.#addresses.get(address)?.connections ?? constants.defaultRunnerConnections;
  }

  /** This node's part of the connections that a pool allows to one runner. */
  #ownConnectionLimit(pool: string): number {
    const poolLimit = this.#fleet.configuration.value.pools?.[pool]?.connections ?? 0;
    return poolLimit === 0
      ? constants.defaultRunnerConnections
      : Math.max(1, Math.floor((poolLimit * constants.connectionLimitFraction) / this.#nodes));
  }

  /** Records that an attempt starts at a runner. */
  recordStart(
    attemptNumber: number,
    runner: string,
    request: PassageRequest,
    item: boolean,
    now: number,
  ): void {
    const state = this.#runners.get(runner);
    if (state === undefined) return;
    const prompt = this.#describePrompt(state.card.pool!, request, item);
    const expected = this.#expectedMs(state, prompt, now);
    this.#countChoice(state, prompt, now);
    if (state.live + state.items === 0) state.heardAt = now;
    if (item) state.items += 1;
    else state.live += 1;
    const prefillMs = prompt.tokens === undefined ? undefined : this.#prefillMs(state, prompt, now);
    state.reading += prefillMs ?? 0;
    this.#attempts.set(attemptNumber, {
      state,
      item,
      startedAt: now,
      prefillMs,
      isLong: prompt.isLong,
      expected,
      shared: prompt.shared,
      hasOutput: false,
    });
    if (prompt.isLong) this.#countLongPrompt(state.card.pool!, 1, now);
  }

  #countChoice(state: RunnerState, { tokens, shared, home }: Prompt, now: number): void {
    const { counts } = this;
    if (shared !== undefined && home === state) counts.sharedAtHome += 1;
    else if (shared !== undefined && this.#wasPrefilled(shared, state, now))
      counts.sharedReadLately += 1;
    else if (shared !== undefined) {
      counts.sharedUnread += 1;
      counts.sharedTokensUnread += Math.min(shared.size, tokens ?? 0);
    }
    const occupied = state.live + state.items;
    if (occupied >= state.connections) counts.connectionAwaited += 1;
    else if (occupied < this.#openConnections(state.card.url)) counts.connectionOpen += 1;
    else counts.connectionNew += 1;
  }

  /** Records that the runner of an attempt sent something. */
  recordActivity(attemptNumber: number, now: number): void {
    const attempt = this.#attempts.get(attemptNumber);
    if (attempt !== undefined) attempt.state.heardAt = now;
  }

  /** Records an event of an item that is not its first. */
  recordItemOutput(attemptNumber: number, now: number): void {
    const attempt = this.#attempts.get(attemptNumber);
    if (attempt !== undefined) attempt.state.itemHeardAt = now;
  }

  /** Records the first output of an attempt and updates the estimates of the runner's speed. */
  recordFirstOutput(attemptNumber: number, now: number): void {
    const attempt = this.#attempts.get(attemptNumber);
    if (attempt === undefined || attempt.hasOutput) return;
    attempt.hasOutput = true;
    const { state } = attempt;
    state.heardAt = now;
    state.troubles = 0;
    state.reading -= attempt.prefillMs ?? 0;
    const elapsed = now - attempt.startedAt;
    if (!attempt.item) this.#countFirstOutput(attempt.expected, elapsed);
    if (attempt.prefillMs === undefined)
      state.typicalFirstOutputMs +=
        (elapsed - state.typicalFirstOutputMs) * constants.speedSmoothingFactor;
    else if (!attempt.item)
      state.slowness +=
        (clamp(
          ((elapsed + constants.minFirstOutputMs) /
            (attempt.expected + constants.minFirstOutputMs)) *
            state.slowness,
          0.5,
          4,
        ) -
          state.slowness) *
        constants.speedSmoothingFactor;
    if (attempt.shared !== undefined) this.#rememberPrefill(attempt.shared, state.card.id, now);
  }

  #countFirstOutput(expected: number, elapsed: number): void {
    this.counts.firstSigns += 1;
    this.counts.firstSignsExpected += expected;
    this.counts.firstSignsTook += elapsed;
  }

  #rememberPrefill(shared: SharedParts, runner: string, now: number): void {
    const runners = this.#prefilledAt.get(shared.hash) ?? new Map<string, number>();
    runners.set(runner, now);
    // Re-insertion keeps the map in order of last use, so that the loop below evicts the least recently used.
    this.#prefilledAt.delete(shared.hash);
    this.#prefilledAt.set(shared.hash, runners);
    for (const oldest of this.#prefilledAt.keys()) {
      if (this.#prefilledAt.size <= constants.maxRememberedPrefixes) break;
      this.#prefilledAt.delete(oldest);
    }
  }

  /** Records the end of an attempt; a runner that refused it or could not be reached is avoided with exponential back-off. */
  recordEnd(
    attemptNumber: number,
    outcome: AttemptOutcome,
    _retryAfter: number | undefined,
    now: number,
  ): void {
    const attempt = this.#attempts.get(attemptNumber);
    if (attempt === undefined) return;
    this.#attempts.delete(attemptNumber);
    const { state } = attempt;
    if (attempt.item) state.items -= 1;
    else state.live -= 1;
    if (!attempt.hasOutput) state.reading -= attempt.prefillMs ?? 0;
    if (attempt.isLong) this.#countLongPrompt(state.card.pool!, -1, now);
    if (outcome === "done" || outcome === "refused" || outcome === "failed") state.heardAt = now;
    if (outcome === "done") state.troubles = 0;
    if (outcome !== "refused" && outcome !== "unsent" && outcome !== "broken") return;
    state.troubles = Math.min(state.troubles + 1, 6);
    const baseDelay =
      outcome === "refused" ? constants.refusalBackoffMs : constants.failureBackoffMs;
    state.avoidedUntil =
      now + Math.min(baseDelay * 2 ** (state.troubles - 1), constants.maxRunnerBackoffMs);
  }

  /** Number of further items that this node may start on the runners of a pool: its part of the free slots. */
  freeItemSlots(pool: string, now: number): number {
    this.#refresh(now);
    let free = 0;
    for (const state of this.#pools.get(pool) ?? [])
      if (now >= state.avoidedUntil)
        free += Math.max(
          0,
          state.card.seats * itemSlotPart(state, this.#isPartitioned(pool)) -
            slotsTaken(state, true),
        );
    const ownSlots = free / this.#nodes;
    return Math.floor(ownSlots) + (this.#random() < ownSlots % 1 ? 1 : 0);
  }

  /** The loads that this node reports to the other access nodes. */
  loads(): [runner: string, live: number, items: number][] {
    const loads: [string, number, number][] = [];
    for (const { card, live, items } of this.#states.values())
      if (live > 0 || items > 0) loads.push([card.id, live, items]);
    return loads;
  }

  #isPartitioned(pool: string): boolean {
    return (
      (this.#partitions.get(pool)?.shortRunners ?? Number.POSITIVE_INFINITY) !==
      Number.POSITIVE_INFINITY
    );
  }

  #partitionOf(pool: string, now: number): PoolPartition {
    let partition = this.#partitions.get(pool);
    if (partition === undefined)
      this.#partitions.set(
        pool,
        (partition = {
          shortLoad: 0,
          longLoad: 0,
          longCount: 0,
          lastLongAt: now,
          shortRunners: Number.POSITIVE_INFINITY,
          at: now,
        }),
      );
    return partition;
  }

  /** Counts a long prompt of this node that starts (1) or ends (-1). */
  #countLongPrompt(pool: string, count: number, now: number): void {
    const partition = this.#partitionOf(pool, now);
    partition.longCount += count;
    partition.lastLongAt = now;
  }

  /**
   * Sets apart as many runners for short live requests as they need, the same ones at every node; the rest serve items and
   * long prompts and cache their shared parts.
   */
  #repartition(pool: string, states: RunnerState[], now: number): void {
    const split = this.#partitionOf(pool, now);
    const elapsed = now - split.at;
    split.at = now;
    let occupied = 0;
    let seats = 0;
    for (const state of states) {
      occupied += state.live + state.othersLive;
      seats += state.card.seats;
    }
    split.longLoad +=
      (split.longCount - split.longLoad) * Math.min(1, elapsed / constants.longSmoothingMs);
    const load = Math.max(0, occupied - split.longLoad * this.#nodes);
    split.shortLoad +=
      (load - split.shortLoad) *
      Math.min(1, elapsed / (load > split.shortLoad ? constants.loadRiseMs : constants.loadFallMs));
    const limit = states.length - Math.max(1, Math.ceil(states.length * constants.minLongFraction));
    if (
      states.length < constants.minPoolToDivide ||
      now - split.lastLongAt > constants.longMemoryMs
    )
      split.shortRunners = Number.POSITIVE_INFINITY;
    else {
      const needed = split.shortLoad / (seats / states.length) / constants.shortPromptSlotFraction;
      // Hysteresis: a change assigns shared parts to other runners, and nodes may disagree on the number for a while.
      if (
        needed > split.shortRunners + constants.maxShortRunnerDeficit ||
        needed < split.shortRunners - constants.maxShortRunnerSurplus ||
        split.shortRunners > limit
      )
        split.shortRunners = Math.ceil(needed);
      split.shortRunners = clamp(
        split.shortRunners,
        Math.ceil(states.length * constants.minShortFraction),
        limit,
      );
    }
    if (split.shortRunners < states.length) states.sort(compareHashes);
    for (let index = 0; index < states.length; index += 1)
      states[index]!.servesLong = index >= split.shortRunners;
  }

  /** Refreshes the state of the runners from the fleet view, a few times per tick instead of for each request. */
  #refresh(now: number): void {
    // With thousands of runners a refresh takes milliseconds, so the interval grows with the fleet.
    const interval = Math.min(
      constants.maxRefreshIntervalMs,
      constants.refreshIntervalMs * (1 + this.#runners.size / constants.refreshIntervalRunners),
    );
    if (now - this.#refreshedAt < interval && now >= this.#refreshedAt) return;
    this.#refreshedAt = now;
    this.#pools = new Map();
    this.#addresses = new Map();
    this.#runners = new Map();
    const previous = this.#states;
    this.#states = new Map();
    const otherLoads = new Map<string, [live: number, items: number]>();
    let nodes = 0;
    for (const { card, age } of this.#fleet.registry.nodes) {
      if (card.kind !== "access" || age > constants.sessionTimeoutMs) continue;
      if (!card.leaving) nodes += 1;
    }
    for (const [runner, live, items] of this.#fleet.registry.others ?? [])
      otherLoads.set(runner, [live, items]);
    this.#nodes = Math.max(1, nodes);
    for (const card of this.#fleet.runners(now)) {
      if (card.pool === undefined) continue;
      const key = incarnationKey(card.id, card.incarnation);
      const state: RunnerState = previous.get(key) ?? {
        card,
        hash: hashText(card.id),
        connections: constants.defaultRunnerConnections,
        live: 0,
        items: 0,
        othersLive: 0,
        othersItems: 0,
        reading: 0,
        servesLong: false,
        typicalFirstOutputMs: constants.initialDurationMs,
        slowness: 1,
        heardAt: now,
        itemHeardAt: Number.NEGATIVE_INFINITY,
        isAnnounced: true,
        avoidedUntil: 0,
        troubles: 0,
      };
      state.card = card;
      state.connections = this.#ownConnectionLimit(card.pool);
      state.isAnnounced = true;
      [state.othersLive, state.othersItems] = otherLoads.get(card.id) ?? [0, 0];
      this.#states.set(key, state);
      this.#addresses.set(card.url, state);
      this.#runners.set(card.id, state);
      const members = this.#pools.get(card.pool);
      if (members === undefined) this.#pools.set(card.pool, [state]);
      else members.push(state);
    }
    for (const [pool, states] of this.#pools) this.#repartition(pool, states, now);
    // Runners that are no longer announced are kept while attempts are in progress there.
    for (const [key, state] of previous) {
      if (this.#states.has(key)) continue;
      state.isAnnounced = false;
      if (state.live > 0 || state.items > 0) this.#states.set(key, state);
    }
  }

  /** Returns a number in [0, 1) from a xorshift generator of its own, so that a run can be reproduced. */
  #random(): number {
    this.#randomState ^= this.#randomState << 13;
    this.#randomState ^= this.#randomState >>> 17;
    this.#randomState ^= this.#randomState << 5;
    return (this.#randomState >>> 0) / 0x1_0000_0000;
  }
}

/**
 * Slots taken, as counted for an item or for a live request. Runners displace items for live requests, which has a cost, so an item
 * counts as a fraction of a slot for a live request.
 */
function slotsTaken(state: RunnerState, item: boolean): number {
  return (
    state.live +
    state.othersLive +
    (state.items + state.othersItems) * (item ? 1 : constants.itemSlotWeight)
  );
}

/** Fraction of a runner's slots that items may fill: less at runners for short live requests, because those displace items. */
function itemSlotPart(state: RunnerState, isPartitioned: boolean): number {
  return isPartitioned && !state.servesLong
    ? constants.itemSlotFractionOnShortRunners
    : constants.itemSlotFraction;
}

/** Penalty in ms for sending a request to a runner that is set apart for the other kind. */
function misplacementPenalty(state: RunnerState, prompt: Prompt): number {
  if (prompt.item) return state.servesLong ? 0 : constants.itemElsewhereCostMs;
  if (prompt.isLong === state.servesLong) return 0;
  return prompt.isLong ? constants.longPromptElsewhereCostMs : constants.shortPromptElsewhereCostMs;
}

function incarnationKey(runner: string, incarnation: number): string {
  return `${runner} ${incarnation}`;
}

function servesModel(card: RunnerDescriptor, model: string | undefined): boolean {
  return model === undefined || card.models.length === 0 || card.models.includes(model);
}

function promptTokens(request: PassageRequest): number | undefined {
  if (request.tokensIn !== undefined || request.parts.length === 0) return request.tokensIn;
  let size = 0;
  for (const part of request.parts) size += part.size;
  return size;
}

function sharedPartsOf(request: PassageRequest): SharedParts | undefined {
  const { parts } = request;
  if (parts.length < 2) return undefined;
  let size = 0;
  let hash = 0;
  for (let index = 0; index < parts.length - 1; index += 1) {
    size += parts[index]!.size;
    hash = mixBits(hash ^ hashText(parts[index]!.name));
  }
  return { hash, size };
}

/**
 * The runner that caches shared parts, by rendezvous hashing: every node computes the same one, and few parts move when
 * runners join or leave.
 */
function homeRunner(
  shared: SharedParts,
  states: readonly RunnerState[],
  isLong: boolean,
): RunnerState | undefined {
  let home: RunnerState | undefined;
  let highestRank = -1;
  const isPartitioned = states.at(-1)?.servesLong === true;
  for (const state of states) {
    if (isPartitioned && state.servesLong !== isLong) continue;
    const rank = mixBits(shared.hash ^ state.hash);
    if (rank <= highestRank) continue;
    highestRank = rank;
    home = state;
  }
  return home;
}

function compareHashes(one: RunnerState, other: RunnerState): number {
  return one.hash - other.hash;
}

function clamp(value: number, minimum: number, maximum: number): number {
  return Math.min(Math.max(value, minimum), maximum);
}

function noConnections(): number {
  return 0;
}

/** A 32-bit hash of a text: FNV-1a with a final mix for an even distribution. */
export function hashText(text: string): number {
  let hash = 0x811c9dc5;
  for (let index = 0; index < text.length; index += 1)
    hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
  return mixBits(hash);
}

/** The 32-bit finalizer of MurmurHash3. */
function mixBits(value: number): number {
  let hash = value ^ (value >>> 16);
  hash = Math.imul(hash, 0x85ebca6b);
  hash ^= hash >>> 13;
  hash = Math.imul(hash, 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}
