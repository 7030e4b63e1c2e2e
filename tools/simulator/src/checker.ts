/** The checker: what was seen, the rules that it is compared with, and how near the rules' bounds it came. */
export { check } from "./checker/check.js";
export * from "./checker/records.js";
export { worst, type Worst } from "./checker/worst.js";
