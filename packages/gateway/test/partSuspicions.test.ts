/*
 * Guards against suspicions of parts of prompts that are lost when all instances are killed shortly after a crash: they were written with
 * the next review only, up to 250 ms after they were due.
 */
import t from "tap";
import { partPrefix } from "@gladewall/gateway";
import { PartFleet } from "./partFleet.js";

/** Time from a crash until its suspicion is in the store: detection 70 ms, the message to the writer 31 ms, 160 ms until it is due, the write 31 ms. */
const writtenAfterMs = 295;

t.test("the suspicion of a part is in the store as soon as all instances have reported", async (t) => {
  for (let seed = 1; seed <= 8; seed++) {
    const isDeadly = ({ parts }: { readonly parts: readonly string[] }): boolean => parts[0] === "deadly";
    const fleet = await PartFleet.create({ instances: 6, endpoints: 6, seed, isDeadly });
    void fleet.send({ workspace: "w", parts: ["deadly", "own"], isStream: true });
    while (fleet.crashes.length === 0) await fleet.clock.advance(10);
    await fleet.clock.advance(writtenAfterMs);
    const kept = [...fleet.items.keys()].filter((key) => key.startsWith(partPrefix));
    t.equal(kept.length, 1, `seed ${seed}`);
  }
});
