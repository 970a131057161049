// Runs the soak of endpoints that are killed: endpoint processes whose responses come in every framing, half of them without any.
// `node scripts/killSoak.mjs --seeds 50 [--slack RETRIES] [--victims instances]`. A seed is broken if a caller got a short response that
// was framed as complete, a short stream that looked complete though its endpoint did not cut it, bytes that no endpoint sent, or the end
// of a stream inside an event.
import { importTest, runSeeds } from "./playSeeds.mjs";

const { runKillSoak } = await importTest("killSoak");

await runSeeds(
  4,
  async ({ slack, ...options }) => {
    const retrySlack = slack === undefined ? {} : { retrySlack: Number(slack) };
    const { violations, events, ...counts } = await runKillSoak({ ...options, ...retrySlack });
    const text = `${JSON.stringify(counts)} ${JSON.stringify(Object.fromEntries(events))}`;
    return { isViolated: violations.length > 0, text: [text, ...violations].join("; ") };
  },
  { slack: { type: "string" }, victims: { type: "string" } },
);
