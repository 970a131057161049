// Command line of the soaks on real processes: bundles the daemon, runs one seed after another, prints a line for each, and exits
// with 1 if one was broken. Options: `[--seeds 50] [--from 1] [--instances N] [--seconds 12] [--logs FOLDER] [--former DAEMON]`.
import { spawnSync } from "node:child_process";
import { fileURLToPath } from "node:url";
import { parseArgs } from "node:util";

const root = fileURLToPath(new URL("..", import.meta.url));

/** Imports a built module of the platform's tests. */
export function importTest(name) {
  return import(`${root}platform/dist/test/${name}.js`);
}

/**
 * Runs the seeds of the command line. `runSoak` receives seed, instances, lengthMs, logFolder and earlierDaemon, and returns
 * `isViolated` and `text`, the line to print. `extraOptions` are those of the soak itself, in the form of `parseArgs`.
 */
export async function runSeeds(instances, runSoak, extraOptions = {}) {
  const { values } = parseArgs({
    options: {
      ...extraOptions,
      seeds: { type: "string", default: "10" },
      from: { type: "string", default: "1" },
      instances: { type: "string", default: String(instances) },
      seconds: { type: "string", default: "12" },
      logs: { type: "string" },
      former: { type: "string" },
    },
  });
  const built = spawnSync(process.execPath, [`${root}scripts/bundle.mjs`], { stdio: "inherit" });
  if (built.status !== 0) process.exit(1);
  const from = Number(values.from);
  const extra = Object.fromEntries(Object.keys(extraOptions).map((name) => [name, values[name]]));
  const options = {
    ...extra,
    instances: Number(values.instances),
    lengthMs: Number(values.seconds) * 1_000,
    logFolder: values.logs,
    earlierDaemon: values.former,
  };
  let violated = 0;
  for (let seed = from; seed < from + Number(values.seeds); seed++) {
    const { isViolated, text } = await runSoak({ ...options, seed });
    violated += isViolated ? 1 : 0;
    console.log(`${isViolated ? "BROKEN" : "ok"} seed ${seed} ${text}`);
  }
  console.log(`${values.seeds} seeds, ${violated} broken`);
  process.exit(violated === 0 ? 0 : 1);
}
