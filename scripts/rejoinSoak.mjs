// Runs the soak of streams that are taken up after instances have ended. `node scripts/rejoinSoak.mjs --seeds 5 --row NAME|all
// [--seconds 20]`. A seed is broken if a stream held events of two versions, lacked or repeated one, or ended as complete too soon,
// or if fewer streams went on than the row demands. Rows with instances of an earlier build need its daemon (`--former`); streams of
// two versions that lived while one of them ran are excused, and counted apart.
// Prints for each row how often streams that were taken up went on, why the others did not, and how often new ones began.
import { importTest, runSeeds } from "./playSeeds.mjs";

const { runRejoinSoak } = await importTest("rejoinSoak");
const { rejoinPlans } = await importTest("rejoinSoakRows");
const { DaemonBuild, RejoinRow } = await importTest("rejoinSoakTypes");

const names = Object.values(RejoinRow);
const extra = { row: { type: "string", default: "all" } };

/** Whether a row can be played with the options of the command line. */
function isPlayable(row, { earlierDaemon }) {
  return earlierDaemon !== undefined || !rejoinPlans[row].firstBuilds?.includes(DaemonBuild.Earlier);
}

function formatShare({ served, all }) {
  return `${served}/${all}${all === 0 ? "" : ` (${(served / all).toFixed(3)})`}`;
}

function formatMap(counts) {
  return JSON.stringify(Object.fromEntries(counts));
}

function formatResult(row, { streams, whole, violated, excused, kills, ...rest }) {
  const { begun, takenUp, lost, statuses, refusals, refusalsOfNew, slowestRefusalMs } = rest;
  const counts = `streams ${streams}, whole ${whole}, violated ${violated}, excused ${excused}, kills ${kills}`;
  const shares = `went on ${formatShare(takenUp)}, lost ${formatMap(lost)}, began ${formatShare(begun)}`;
  const answers = `take-ups ${formatMap(statuses)}, refused ${formatMap(refusals)}, new ones ${formatMap(refusalsOfNew)}`;
  return `${row}: ${counts}, ${shares}, ${answers}, slowest refusal ${slowestRefusalMs.toFixed(0)} ms`;
}

await runSeeds(
  6,
  async ({ row, ...options }) => {
    const rows = row === "all" ? names.filter((name) => isPlayable(name, options)) : [row];
    if (!rows.every((name) => names.includes(name))) throw new Error(`--row is none of ${names.join()}, all`);
    const parts = [];
    let isViolated = false;
    for (const played of rows) {
      const result = await runRejoinSoak({ ...options, row: played });
      isViolated ||= result.violations.length > 0;
      parts.push([formatResult(played, result), ...result.violations].join("; "));
    }
    return { isViolated, text: parts.join("\n  ") };
  },
  extra,
);
