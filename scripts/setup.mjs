// Prepares a clone: installs the locked packages if they changed, and builds all packages.
import { spawnSync } from "node:child_process";
import { createHash } from "node:crypto";
import { existsSync, readFileSync, writeFileSync } from "node:fs";
import { fileURLToPath } from "node:url";

const root = fileURLToPath(new URL("..", import.meta.url));
const stampFile = `${root}node_modules/.setup-stamp`;

function run(command, args) {
  // Output goes to stderr, so that stdout holds only the output of the command that follows.
  const done = spawnSync(command, args, { cwd: root, stdio: ["ignore", 2, 2] });
  if (done.status !== 0) process.exit(done.status ?? 1);
}

function getLockDigest() {
  return createHash("sha256")
    .update(readFileSync(`${root}package-lock.json`))
    .digest("hex");
}

const digest = getLockDigest();
const isInstalled = existsSync(stampFile) && readFileSync(stampFile, "utf8") === digest;
if (!isInstalled) {
  run("npm", ["ci", "--no-audit", "--no-fund", "--loglevel=error"]);
  writeFileSync(stampFile, digest);
}
run("node", ["node_modules/typescript/bin/tsc", "-b"]);
