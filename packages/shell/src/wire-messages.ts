/** What processes say to each other about their connection itself (docs/design.md §10.3, §10.6). */
import { z } from "zod";

const hello = z.object({
  product: z.literal("chutewick"),
  mark: z.number(),
  from: z.string(),
  life: z.string().optional(),
  connection: z.number().optional(),
});

/** The first frame of a connection. */
export interface Hello {
  readonly product: "chutewick";
  /** Version of the messages that follow. */
  readonly mark: number;
  /** Address of the process that opened the connection. */
  readonly from: string;
  /** Differs with each start of that process; absent in releases that know no acknowledgements. */
  readonly life?: string | undefined;
  /** Rises with each connection of that life to the same process. */
  readonly connection?: number | undefined;
}

/** The only answer on a connection that was taken: bytes received on it so far. */
export interface Acknowledgement {
  readonly received: number;
}

/** The hello that a frame brings, whatever its version; undefined where it is none. */
export function readHello(message: unknown): Hello | undefined {
  return hello.safeParse(message).data;
}

/** Whether a frame acknowledges bytes. */
export function isAcknowledgement(message: unknown): message is Acknowledgement {
  return typeof (message as Partial<Acknowledgement> | null)?.received === "number";
}
