import { costOfRequest, costOfLot, rateHeld } from "./measure.js";

process.stdout.write(
  `${JSON.stringify({ rate20Per60s: rateHeld(20, 60, 600), rate20PerSecond: rateHeld(20, 1, 60), lotOfTwenty: costOfLot(), hundredInquiries: costOfRequest() }, undefined, 2)}\n`,
);
