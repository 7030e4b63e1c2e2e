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
  /** Differs with each start of that process; absent in releases that know no heartbeats. */
  readonly life?: string | undefined;
  /** Rises with each connection of that life to the same process. */
  readonly connection?: number | undefined;
}

/** Asks for an answer with the same number, to show that the connection carries bytes both ways. */
export interface Heartbeat {
  readonly heartbeat: number;
}

/** Number 0 answers the hello. */
export interface HeartbeatAnswer {
  readonly heartbeatAnswer: number;
}

/** The hello that a frame brings, whatever its version; undefined where it is none. */
export function readHello(message: unknown): Hello | undefined {
  return hello.safeParse(message).data;
}

/** Whether a frame is a heartbeat and no message. */
export function isHeartbeat(message: unknown): message is Heartbeat {
  return typeof (message as Partial<Heartbeat> | null)?.heartbeat === "number";
}

/** Whether a frame answers a heartbeat or a hello. */
export function isHeartbeatAnswer(message: unknown): message is HeartbeatAnswer {
  return typeof (message as Partial<HeartbeatAnswer> | null)?.heartbeatAnswer === "number";
}
