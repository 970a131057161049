// Reads KNOWN-RED.txt, the list of tests that fail because of a known fault that is not fixed yet. Each line is
// `test | cause | issue`.
import { existsSync, readFileSync } from "node:fs";

/** More than a few postponed faults count as a broken build. */
const maxLines = 3;

/** Returns the lines of the list; empty if the file does not exist. */
export function readKnownRed(file) {
  if (!existsSync(file)) return [];
  const lines = readFileSync(file, "utf8")
    .split("\n")
    .filter((line) => line.trim() !== "");
  if (lines.length > maxLines)
    throw new Error(`${file} lists ${lines.length} tests; at most ${maxLines} are allowed`);
  return lines.map((line) => {
    const [test, cause, issue] = line.split("|").map((part) => part.trim());
    if (!test || !cause || !issue) throw new Error(`${file}: "${line}" is not "test | cause | issue"`);
    return { test, cause, issue };
  });
}

/**
 * Splits test results into those that count and those that are listed as red. A listed test that passes, or that did not run, counts
 * as failed, because its line must be removed.
 */
export function classifyResults(results, knownRed) {
  const isListed = ({ name }) => knownRed.some(({ test }) => test === name);
  const counted = results.filter((result) => !isListed(result));
  const red = results.filter((result) => isListed(result) && !result.isGood);
  const stale = knownRed.filter(({ test }) => !red.some(({ name }) => name === test));
  return {
    passed: counted.filter(({ isGood }) => isGood).length,
    failed: counted.filter(({ isGood }) => !isGood).length + stale.length,
    red,
    stale,
  };
}
