/** What processes say to each other about their connection itself (docs/design.md §10.3, §10.6). */
import { z } from "zod";

const hello = z.object({
  product: z.literal("chutewick"),
  mark: z.number(),
  from: z.string(),
  life: z.string().optional(),
  connection: z.number().optional(),
  takesCrossAcknowledgements: z.boolean().optional(),
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
  /** Whether that process reads acknowledgements of its connections on those that it accepts, too. */
  readonly takesCrossAcknowledgements?: boolean | undefined;
}

/** The only answer on a connection that was taken: bytes received on it so far. */
export interface Acknowledgement {
  readonly received: number;
}

/** The same among the messages of the connection in the other direction, so that it costs no packet of its own. */
export interface CrossAcknowledgement extends Acknowledgement {
  /** Of the process that opened the acknowledged connection, as its hello told. */
  readonly life: string;
  /** Number of the acknowledged connection in that life. */
  readonly connection: number;
}

/** The hello that a frame brings, whatever its version; undefined where it is none. */
export function readHello(message: unknown): Hello | undefined {
  return hello.safeParse(message).data;
}

/** The acknowledgement that a frame among messages brings; undefined where it is a message. */
export function readCrossAcknowledgement(message: unknown): CrossAcknowledgement | undefined {
  if (!isAcknowledgement(message)) return undefined;
  const { received, life, connection } = message as Partial<CrossAcknowledgement>;
  if (received === undefined || typeof life !== "string" || typeof connection !== "number")
    return undefined;
  return { received, life, connection };
}

/** Whether a frame acknowledges bytes. */
export function isAcknowledgement(message: unknown): message is Acknowledgement {
  return typeof (message as Partial<Acknowledgement> | null)?.received === "number";
}
