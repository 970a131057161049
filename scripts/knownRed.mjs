// Reads KNOWN-RED.txt: tests that fail for a fault which is known and not mended yet, one a line: test | cause | issue.
import { existsSync, readFileSync } from "node:fs";

/** More than a few faults that are put off are a broken build. */
const maxLines = 3;

/** Returns the lines of the list; empty where there is no list. */
export function readKnownRed(file) {
  if (!existsSync(file)) return [];
  const lines = readFileSync(file, "utf8")
    .split("\n")
    .filter((line) => line.trim() !== "");
  if (lines.length > maxLines)
    throw new Error(`${file} lists ${lines.length} tests, ${maxLines} at the most`);
  return lines.map((line) => {
    const [test, cause, issue] = line.split("|").map((part) => part.trim());
    if (!test || !cause || !issue) throw new Error(`${file}: "${line}" is not "test | cause | issue"`);
    return { test, cause, issue };
  });
}

/**
 * Splits results of tests into those that count and those that are listed as red. A listed test that passes, or that
 * did not run, counts as failed: its line has to go.
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
