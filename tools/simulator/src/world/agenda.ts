/** What is to come in virtual time, soonest first; what falls on one moment comes in the order of its adding. */

/** Something that is to happen at a moment, in ms of virtual time. */
export interface Event {
  readonly at: number;
  readonly order: number;
  readonly act: () => void;
}

/** A binary heap of events. */
export class Agenda {
  #events: Event[] = [];

  /** The soonest event. */
  get next(): Event | undefined {
    return this.#events[0];
  }

  add(event: Event): void {
    const events = this.#events;
    let place = events.length;
    events.push(event);
    while (place > 0) {
      const above = (place - 1) >> 1;
      if (!sooner(event, events[above]!)) break;
      events[place] = events[above]!;
      place = above;
    }
    events[place] = event;
  }

  /** Takes the soonest event out; there must be one. */
  take(): Event {
    const events = this.#events;
    const first = events[0]!;
    const last = events.pop()!;
    if (events.length > 0) {
      let place = 0;
      for (;;) {
        let below = place * 2 + 1;
        if (below >= events.length) break;
        if (below + 1 < events.length && sooner(events[below + 1]!, events[below]!)) below += 1;
        if (!sooner(events[below]!, last)) break;
        events[place] = events[below]!;
        place = below;
      }
      events[place] = last;
    }
    return first;
  }
}

function sooner(left: Event, right: Event): boolean {
  return left.at < right.at || (left.at === right.at && left.order < right.order);
}
