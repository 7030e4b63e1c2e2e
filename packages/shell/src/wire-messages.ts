/** Messages that processes exchange about a connection itself: hello and acknowledgements (docs/design.md §10.3, §10.6). */
import { z } from "zod";

const helloSchema = z.object({
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
  /** Protocol version of the messages that follow. */
  readonly mark: number;
  /** Address of the process that opened the connection. */
  readonly from: string;
  /** Incarnation: differs at each start of that process; absent in releases without acknowledgements. */
  readonly life?: string | undefined;
  /** Increases with each connection that this incarnation opens to the same process. */
  readonly connection?: number | undefined;
  /** Whether that process also reads acknowledgements of its own connections on the connections that it accepts. */
  readonly takesCrossAcknowledgements?: boolean | undefined;
}

/** The only reply on an accepted connection. */
export interface Acknowledgement {
  /** Bytes received on the connection so far. */
  readonly received: number;
}

/** An acknowledgement sent among the messages of the connection in the other direction, so that it needs no packet of its own. */
export interface CrossAcknowledgement extends Acknowledgement {
  /** Incarnation of the process that opened the acknowledged connection, from its hello. */
  readonly life: string;
  /** Number of the acknowledged connection within that incarnation. */
  readonly connection: number;
}

/** Parses a hello of any version; undefined if the message is not one. */
export function readHello(message: unknown): Hello | undefined {
  return helloSchema.safeParse(message).data;
}

/** Parses an acknowledgement sent among messages; undefined for any other message. */
export function readCrossAcknowledgement(message: unknown): CrossAcknowledgement | undefined {
  if (!isAcknowledgement(message)) return undefined;
  const { received, life, connection } = message as Partial<CrossAcknowledgement>;
  if (received === undefined || typeof life !== "string" || typeof connection !== "number")
    return undefined;
  return { received, life, connection };
}

/** Whether a message acknowledges received bytes. */
export function isAcknowledgement(message: unknown): message is Acknowledgement {
  return typeof (message as Partial<Acknowledgement> | null)?.received === "number";
}
