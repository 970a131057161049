/*
 * A workspace was given more than its limit beside lost answers, late words, and instances that pause, end and start again. Each seed
 * draws such troubles on a virtual clock; 45 let 1.15 of what the limit allows run in a window.
 */
import t from "tap";
import { createRandomScenario, runLimitScenario } from "./limitedFleet.js";

t.test("drawn pauses, delays, kills and repeats never let more run than a limit allows", async (t) => {
  // 45: readers that had begun with their own part of the room gave out all of it after a restart; 1.15.
  for (const seed of [...Array.from({ length: 12 }, (_, index) => index + 1), 45]) {
    const play = createRandomScenario(seed);
    const { maxShare: worst } = await runLimitScenario(play);
    t.ok(worst <= 1, `${worst.toFixed(3)}: ${JSON.stringify(play)}`);
  }
});
