/** Caller of a warm-up: sends one request on its own connection and reads the response to its end. */
import { connect } from "node:net";
import { SAMPLE_HOST, SAMPLE_PATH } from "./sample-fleet.js";
import type { WarmUpSample } from "./warm-up-sample.js";

/** Request body of about the most common prompt size. */
const BODY = Buffer.alloc(1_000, "sample ");

const CALL_TIMEOUT_MS = 3_000;

/** @returns whether a complete response arrived */
export function callOnce(address: string, sample: WarmUpSample, number: number): Promise<boolean> {
  const colon = address.lastIndexOf(":");
  const socket = connect({
    host: address.slice(0, colon),
    port: Number(address.slice(colon + 1)),
    noDelay: true,
  });
  let response = "";
  function call(resolve: (isWhole: boolean) => void): void {
    function read(bytes: Buffer): void {
      response += bytes.toString("latin1");
    }
    function finish(): void {
      clearTimeout(timeout);
      resolve(response.startsWith("HTTP/1.1 200") && response.endsWith("0\r\n\r\n"));
    }
    function abort(): void {
      socket.destroy();
    }
    const timeout = setTimeout(abort, CALL_TIMEOUT_MS);
    socket.on("data", read);
    socket.on("error", ignored);
    socket.once("close", finish);
    socket.write(headOf(sample, number));
    socket.write(BODY);
  }
  return new Promise(call);
}

function headOf(sample: WarmUpSample, number: number): string {
  const lines = [
    `POST ${SAMPLE_PATH}${number} HTTP/1.1`,
    `Host: ${SAMPLE_HOST}`,
    "Connection: close",
    `Content-Length: ${BODY.length}`,
  ];
  for (const [name, value] of Object.entries(sample.requestHeaders(number)))
    lines.push(`${name}: ${value}`);
  return `${lines.join("\r\n")}\r\n\r\n`;
}

function ignored(): void {}
