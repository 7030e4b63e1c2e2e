/** Time as the soak measures it: ms of the monotonic clock. */
export function now(): number {
  return performance.now();
}

/** Waits, in ms. */
export function pause(span: number): Promise<void> {
  function begin(resolve: () => void): void {
    setTimeout(resolve, span);
  }
  return new Promise(begin);
}

const lookEvery = 50;

/** Waits until something holds; whether it did within the bound, in ms. */
export async function holdsWithin(
  bound: number,
  holds: () => boolean | Promise<boolean>,
): Promise<boolean> {
  const last = now() + bound;
  while (!(await holds())) {
    if (now() > last) return false;
    await pause(lookEvery);
  }
  return true;
}
