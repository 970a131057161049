/*
 * Guards against a workspace that exceeds its limit when responses are lost, messages are late, and instances pause, end and
 * start again. Each seed creates such faults on a virtual clock; 45 let 1.15 of what the limit allows run in a window.
 */
import t from "tap";
import { runLimitScenario } from "./limitedFleet.js";
import { createRandomScenario } from "./limitScenarios.js";

t.test("random pauses, delays, kills and retries never let more run than a limit allows", async (t) => {
  // 45: readers that had started with their own part of the capacity admitted all of it after a restart; 1.15.
  for (const seed of [...Array.from({ length: 12 }, (_, index) => index + 1), 45]) {
    const scenario = createRandomScenario(seed);
    const { maxShare } = await runLimitScenario(scenario);
    t.ok(maxShare <= 1, `${maxShare.toFixed(3)}: ${JSON.stringify(scenario)}`);
  }
});
