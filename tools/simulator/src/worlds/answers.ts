/** What runners answer: it follows from the id of a call or item alone, so any mix-up shows. */

const EVENTS_MOST = 8;

/** How many events the answer to an id has, from 1 on. */
export function eventCount(id: string): number {
  let sum = 0;
  for (const character of id) sum = (sum * 31 + character.charCodeAt(0)) % 1_000_003;
  return 1 + (sum % EVENTS_MOST);
}

export function eventData(id: string, number: number): string {
  return `${id}#${number}`;
}

/** All data of the answer to an item of a lot, as the lot tells it. */
export function wholeText(id: string): string {
  const texts: string[] = [];
  for (let number = 1; number <= eventCount(id); number += 1) texts.push(eventData(id, number));
  return texts.join("\n");
}
