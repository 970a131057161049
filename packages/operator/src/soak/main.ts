/**
 * `npm run soak -- --seed N --minutes M`: runs the soak test, limited in requests and time. Exits with 1 if a guarantee
 * was violated.
 * @module
 */
import yargs from "yargs";
import { countViolations } from "./checker.js";
import { runSoak, type SoakResult, userSizes } from "./soak.js";

const millisecondsPerMinute = 60_000;
const maxMinutes = 30;
const maxViolationsShown = 10;

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

function printResult(user: string, result: SoakResult): void {
  const { violations, findings, complete, problems, uncertain } = result.check;
  const { reclaims, crashes: deaths, outages, misbehaviours } = result.faults;
  print(
    `${user}: ${result.requests} requests, ${complete} whole, ${problems} problems (${uncertain} unsure), ${result.returns} returns`,
  );
  print(
    `  ${reclaims} reclaims, ${deaths} deaths, ${outages} service outages, ${misbehaviours} misbehaving endpoints`,
  );
  const { lost, doubled, foreign, cut, notRunButRan } = violations;
  print(
    `  broken promises: lost ${lost}, doubled ${doubled}, foreign ${foreign}, cut ${cut}, "not run" that ran ${notRunButRan}`,
  );
  for (const violation of findings.slice(0, maxViolationsShown))
    print(`    ${violation.promise}: ${violation.detail} ${JSON.stringify(violation.told)}`);
}

const options = await yargs(process.argv.slice(2))
  .scriptName("soak")
  .option("seed", { type: "number", default: 1 })
  .option("minutes", { type: "number", default: 1, describe: `at most ${maxMinutes}` })
  .option("entries", { type: "number", default: 9 })
  .option("callers", { type: "number", default: 24 })
  .option("requests", { type: "number", default: 20_000, describe: "requests in all, at most" })
  .option("user", { choices: Object.keys(userSizes), describe: "one user's size; both where none is named" })
  .strict()
  .parseAsync();

const users = options.user === undefined ? Object.keys(userSizes) : [options.user];
const minutes = Math.min(maxMinutes, options.minutes) / users.length;
let violationCount = 0;
for (const name of users) {
  const user = userSizes[name];
  if (!user) continue;
  const result = await runSoak({
    seed: options.seed,
    user,
    entries: options.entries,
    durationMs: minutes * millisecondsPerMinute,
    callers: options.callers,
    maxRequests: options.requests,
    print: () => undefined,
  });
  printResult(name, result);
  violationCount += countViolations(result.check.violations);
}
process.exitCode = violationCount === 0 ? 0 : 1;
