/** A caller of a warm-up: sends one request on a connection of its own and reads the answer to its end. */
import { connect } from "node:net";
import { SAMPLE_HOST, SAMPLE_PATH } from "./sample-fleet.js";
import type { WarmUpSample } from "./warm-up-sample.js";

/** bytes. About the size of a prompt that is sent most often. */
const BODY = Buffer.alloc(1_000, "sample ");

/** ms. A call that takes longer is given up. */
const CALL_PATIENCE = 3_000;

/** @returns whether a whole answer came */
export function callOnce(address: string, sample: WarmUpSample, number: number): Promise<boolean> {
  const cut = address.lastIndexOf(":");
  const socket = connect({
    host: address.slice(0, cut),
    port: Number(address.slice(cut + 1)),
    noDelay: true,
  });
  let answer = "";
  function call(resolve: (isWhole: boolean) => void): void {
    function read(bytes: Buffer): void {
      answer += bytes.toString("latin1");
    }
    function closed(): void {
      clearTimeout(patience);
      resolve(answer.startsWith("HTTP/1.1 200") && answer.endsWith("0\r\n\r\n"));
    }
    function giveUp(): void {
      socket.destroy();
    }
    const patience = setTimeout(giveUp, CALL_PATIENCE);
    socket.on("data", read);
    socket.on("error", ignored);
    socket.once("close", closed);
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
