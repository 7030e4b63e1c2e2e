import type { WorldHistory, WorldOrder } from "@chutewick/simulator";

/** Faults that are planted in what the clients of a simulated world saw (features/worlds.feature). */

/** ms after the last moment of the history. */
const LATER = 10_000;
const PLANTED = "planted";
const MACHINE = "control-1";

interface ConfirmedOrder {
  readonly order: WorldOrder;
  readonly mark: number;
  readonly answeredAt: number;
}

function confirmedOrders({ orders }: WorldHistory): ConfirmedOrder[] {
  const found: ConfirmedOrder[] = [];
  for (const order of orders) {
    const sending = order.sendings.find(({ answer }) => answer === "confirmed");
    if (sending === undefined) continue;
    found.push({ order, mark: sending.mark!, answeredAt: sending.answeredAt! });
  }
  return found.sort((left, right) => left.mark - right.mark);
}

function middleOf(history: WorldHistory): ConfirmedOrder {
  const confirmed = confirmedOrders(history);
  return confirmed[Math.floor(confirmed.length / 2)]!;
}

function endOf({ reads }: WorldHistory): number {
  return Math.max(...reads.map(({ at }) => at)) + LATER;
}

function newestMark(history: WorldHistory): number {
  return confirmedOrders(history).at(-1)!.mark;
}

function read(history: WorldHistory, mark: number, id: string): void {
  const askedAt = endOf(history);
  history.reads.push({ askedAt, at: askedAt + 1, mark, id });
}

/** Another order confirmed on the base of one in the middle, under that one's version or the next. */
function secondWinner(history: WorldHistory, later: number): void {
  const { order, mark, answeredAt } = middleOf(history);
  const number = mark + later;
  history.orders.push({
    id: PLANTED,
    base: order.base,
    number,
    askedAt: order.askedAt,
    sendings: [
      { machine: MACHINE, askedAt: order.askedAt, answeredAt, answer: "confirmed", mark: number },
    ],
  });
}

/** An order whose only sending conflicts; then it is seen as the next version. */
function refusedOrder(history: WorldHistory): number {
  const newest = newestMark(history);
  const askedAt = endOf(history);
  const sending = { machine: MACHINE, askedAt, answeredAt: askedAt + 1 };
  history.orders.push({
    id: PLANTED,
    base: newest - 1,
    number: newest + 1,
    askedAt,
    sendings: [{ ...sending, answer: "conflict", mark: newest }],
  });
  return newest + 1;
}

function nodeWorksWith(history: WorldHistory, node: string, found: ConfirmedOrder): void {
  const { order, mark } = found;
  history.begins.push({ node, at: endOf(history), mark, id: order.id });
}

/** Each changes one thing of a right history. */
export const plantedFaults: Readonly<Record<string, (history: WorldHistory) => void>> = {
  "another order confirmed under the same version": (history) => secondWinner(history, 0),
  "another order confirmed on the same base": (history) => secondWinner(history, 1),
  "a read of a refused order": (history) => {
    const mark = refusedOrder(history);
    history.reads.push({ askedAt: endOf(history), at: endOf(history), mark, id: PLANTED });
  },
  "a node at work with a refused order": (history) => {
    const mark = refusedOrder(history);
    history.begins.push({ node: "new/1", at: endOf(history), mark, id: PLANTED });
  },
  "a node that goes back": (history) => {
    nodeWorksWith(history, history.begins.at(-1)!.node, middleOf(history));
  },
  "a node that missed a change": (history) => {
    nodeWorksWith(history, "new/1", middleOf(history));
  },
  "a node at work with another order under a version": (history) => {
    const [first, second] = confirmedOrders(history);
    nodeWorksWith(history, "new/1", { ...second!, order: first!.order });
  },
  "an old version read": (history) => {
    const { order, mark } = middleOf(history);
    read(history, mark, order.id);
  },
  "another order read under the newest version": (history) => {
    read(history, newestMark(history), middleOf(history).order.id);
  },
  "no read after the last confirmation": (history) => {
    const last = Math.max(...confirmedOrders(history).map(({ answeredAt }) => answeredAt));
    const before = history.reads.filter(({ askedAt }) => askedAt <= last);
    history.reads.splice(0, history.reads.length, ...before);
  },
  "a confirmed order refused when sent again": (history) => {
    const { order } = middleOf(history);
    const askedAt = endOf(history);
    const sending = { machine: MACHINE, askedAt, answeredAt: askedAt + 1 };
    order.sendings.push({ ...sending, answer: "conflict", mark: newestMark(history) });
  },
};
