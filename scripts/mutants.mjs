// Mutation test of the soaks: removes one guard at a time from the bundled daemon, and runs the soak that must detect it.
// `node scripts/mutants.mjs [--seeds 8] [--only NAME]`, after a build. Prints a line for each guard and exits with 1 if one was not
// detected. The sources are not changed.
import { fileURLToPath } from "node:url";
import { parseArgs } from "node:util";
import { bundle } from "./bundle.mjs";
import { guards, removeGuard } from "./mutantGuards.mjs";

const root = fileURLToPath(new URL("..", import.meta.url));

/** Returns a bundler plug-in that removes a guard. */
function createMutation(guard) {
  const filter = new RegExp(`${guard.file.replaceAll(".", "\\.")}$`);
  return {
    name: guard.name,
    setup: ({ onLoad }) => onLoad({ filter }, () => ({ contents: removeGuard(guard), loader: "ts" })),
  };
}

/** Runs seeds until one detects that the guard is missing. Returns the violation, or undefined. */
async function findViolation({ name, runSoak }, seeds) {
  const daemon = `${root}target/mutants/${name}/gladewalld.mjs`;
  for (let seed = 1; seed <= seeds; seed++) {
    const { violations } = await runSoak({ instances: 6, seed, lengthMs: 20_000, daemon });
    if (violations.length > 0) return `seed ${seed}: ${violations[0]}`;
  }
  return undefined;
}

const { values } = parseArgs({
  options: { seeds: { type: "string", default: "8" }, only: { type: "string" } },
});
let missed = 0;
for (const guard of guards) {
  if (values.only !== undefined && values.only !== guard.name) continue;
  await bundle(`target/mutants/${guard.name}`, [createMutation(guard)]);
  const found = await findViolation(guard, Number(values.seeds));
  if (found === undefined) missed += 1;
  console.log(`${found === undefined ? "NOT FOUND" : "found"} ${guard.name} ${found ?? ""}`);
}
process.exit(missed === 0 ? 0 : 1);
