// Runs all checks and tests in order and prints a summary line at the end: `N passed, N failed`. Tests that KNOWN-RED.txt lists are
// run and printed; they count as failed if they pass or do not run.
import { spawnSync } from "node:child_process";
import { existsSync, mkdirSync, readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { classifyResults, readKnownRed } from "./knownRed.mjs";

const root = fileURLToPath(new URL("..", import.meta.url));
const checks = [
  ["format", ["node_modules/prettier/bin/prettier.cjs", "--check", "--log-level=warn", "."]],
  ["lint", ["node_modules/eslint/bin/eslint.js", "."]],
  ["capacity page", ["scripts/capacityPage.mjs", "--check"]],
];

let passed = 0;
let failed = 0;

function runNode(args, options = {}) {
  return spawnSync(process.execPath, args, { cwd: root, stdio: "inherit", ...options });
}

for (const [name, args] of checks) {
  const isGood = runNode(args).status === 0;
  console.log(`${isGood ? "ok" : "not ok"} - ${name}`);
  if (isGood) passed += 1;
  else failed += 1;
}

const tap = "node_modules/tap/dist/esm/run.mjs";
if (!existsSync(`${root}.tap/test-built`)) {
  // tap generates a module with the configured plug-ins once per checkout.
  runNode([tap, "build"]);
}
mkdirSync(`${root}.tap`, { recursive: true });
const only = process.argv.slice(2);
const tapArguments = [tap, "--reporter=tap", "--output-file=.tap/results.tap", ...only];
const run = runNode(tapArguments, { stdio: ["ignore", "ignore", "inherit"] });
const report = existsSync(`${root}.tap/results.tap`) ? readFileSync(`${root}.tap/results.tap`, "utf8") : "";
const results = [];
let hasRedTest = false;
for (const line of report.split("\n")) {
  const found = /^( {4})?(not ok|ok) \d+ - (.*?)(?: # time=.*)?$/.exec(line);
  if (!found) continue;
  const isGood = found[2] === "ok";
  const name = found[3].trim();
  // Top-level lines are files. The tests of a file precede its line, indented by one level.
  const isFile = found[1] === undefined;
  if (isFile) {
    // A file that fails without a failing test has crashed or timed out.
    if (!isGood && !hasRedTest) results.push({ name, isGood });
    hasRedTest = false;
    continue;
  }
  hasRedTest ||= !isGood;
  console.log(line.trim());
  results.push({ name, isGood });
}
const knownRed = only.length === 0 ? readKnownRed(`${root}KNOWN-RED.txt`) : [];
const classified = classifyResults(results, knownRed);
passed += classified.passed;
failed += classified.failed;
if (run.status !== 0) console.log(report);
if (run.status !== 0 && failed === 0 && classified.red.length === 0) failed += 1;
for (const { test, cause, issue } of knownRed) console.log(`known red: ${test} (${cause}; ${issue})`);
for (const { test } of classified.stale) console.log(`listed as known red, but not failing: ${test}`);
console.log(`${passed} passed, ${failed} failed`);
process.exit(failed === 0 ? 0 : 1);
