/** What targeted faults look for in the messages and machines of a campaign. */

/** The parts of a message between machines by which a fault knows its moment. */
export interface SentMessage {
  readonly kind: string;
  readonly ticket?: string;
  readonly command?: { readonly kind: string };
  readonly outcome?: {
    readonly kind: string;
    readonly value?: { readonly kind: string; readonly lot?: string; readonly mark?: number };
  };
  readonly place?: number;
}

/** The machine at an address, for `find`. */
export function isAt(this: { address: string }, machine: { address: string }): boolean {
  return machine.address === this.address;
}

/** A control machine that is not the head. */
export function isNoHead(machine: { core: { isHead: boolean } }): boolean {
  return !machine.core.isHead;
}
