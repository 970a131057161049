// Runs every check in order and ends with one plain line: `N passed, N failed`.
import { spawnSync } from "node:child_process";
import { existsSync, mkdirSync, readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";

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
  // tap generates its own module of the chosen plug-ins once per checkout.
  runNode([tap, "build"]);
}
mkdirSync(`${root}.tap`, { recursive: true });
const only = process.argv.slice(2);
const tapArguments = [tap, "--reporter=tap", "--output-file=.tap/results.tap", ...only];
const run = runNode(tapArguments, { stdio: ["ignore", "ignore", "inherit"] });
const report = existsSync(`${root}.tap/results.tap`) ? readFileSync(`${root}.tap/results.tap`, "utf8") : "";
for (const line of report.split("\n")) {
  const found = /^( {4})?(not ok|ok) \d+ - /.exec(line);
  // Top-level lines are files; the named tests of a file stand one level in.
  if (!found || found[1] === undefined) continue;
  console.log(line.trim());
  if (found[2] === "ok") passed += 1;
  else failed += 1;
}
if (run.status !== 0) console.log(report);
if (run.status !== 0 && failed === 0) failed += 1;
console.log(`${passed} passed, ${failed} failed`);
process.exit(failed === 0 ? 0 : 1);
