// Runs the soak of streams whose endpoints run several software versions. `node scripts/versionSoak.mjs --seeds 50 [--share 0.5]
// [--one-version] [--changes]`. With changes, the route's limit, its service and whether its streams may be resumed change, with a start
// of instances after each, and one version replaces the other; versions are forgotten after 30 s and more, so that it needs
// `--seconds 90`. A seed is broken if a stream held events of two versions, lacked or repeated one, or ended as complete too soon.
// Prints how often streams that were taken up went on, beside how often new ones began.
import { importTest, runSeeds } from "./playSeeds.mjs";

const { runVersionSoak } = await importTest("versionSoak");

const extra = { share: { type: "string" }, "one-version": { type: "boolean" }, changes: { type: "boolean" } };

await runSeeds(
  6,
  async ({ share, "one-version": hasOneVersion, changes: changesRoute = false, ...options }) => {
    const killedShare = share === undefined ? undefined : Number(share);
    const versions = hasOneVersion ? { versions: ["v1"] } : {};
    const result = await runVersionSoak({ ...options, ...versions, killedShare, changesRoute });
    const { violations, statuses, refusals, refusalsOfNew, events, ...counts } = result;
    const text = [counts, ...[statuses, refusals, refusalsOfNew, events].map(Object.fromEntries)].map(
      (part) => JSON.stringify(part),
    );
    return { isViolated: violations.length > 0, text: [text.join(" "), ...violations].join("; ") };
  },
  extra,
);
