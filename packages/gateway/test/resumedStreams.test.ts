/*
 * Guards against streams that repeat events: what an endpoint brought that was to continue a stream was joined to it, however far back it
 * began.
 */
import { CallerEnd, RawEnd, RawFraming } from "@gladewall/standins";
import t from "tap";
import { resumablePath, startCutOffFleet } from "./cutOffFleet.js";
import { callUntilEnded, events, framings, script, stream } from "./scriptedStreams.js";

t.test("an endpoint that begins at or before the last event does not repeat events", async (t) => {
  for (const framing of framings) {
    const fleet = await startCutOffFleet(t, 1, 3);
    for (const after of [0, 1]) {
      const cut = { framing: RawFraming.Chunked, count: 2, end: RawEnd.Closed };
      const received = script(fleet, cut, { framing, after });
      const { body, end } = await fleet.call(0, resumablePath);
      t.same({ body, end }, { body: stream, end: CallerEnd.Framed }, `${RawFraming[framing]}, from ${after}`);
      t.same(received, [0, 2, 2], "a third endpoint continues");
    }
  }
});

t.test("a stream that no endpoint continues where it ended is broken off there", async (t) => {
  const fleet = await startCutOffFleet(t, 1, 3);
  const back = { framing: RawFraming.Chunked, after: 0 };
  script(fleet, { framing: RawFraming.Chunked, count: 2, end: RawEnd.Closed }, back, back);
  const { body, end } = await fleet.call(0, resumablePath);
  t.same({ body, end }, { body: events.slice(0, 2).join(""), end: CallerEnd.Broken });
  t.same((await callUntilEnded(fleet, body, 2)).body, stream);
});

t.test("a stream that its caller takes up does not repeat events, over several tries", async (t) => {
  const fleet = await startCutOffFleet(t, 1, 3);
  const headers = { "last-event-id": "2" };
  const takeUp = () =>
    fleet.bench.call(fleet.bench.instances[0]!, { method: "POST", path: resumablePath, headers });
  script(fleet, { framing: RawFraming.Unframed, after: 0 }, { framing: RawFraming.Length, after: 1 });
  t.match(await takeUp(), { status: 200, body: events.slice(2).join(""), end: CallerEnd.Framed });
  const back = { framing: RawFraming.Chunked, after: 0 };
  script(fleet, back, back, back);
  t.match(await takeUp(), { status: 502 }, "no endpoint continues it");
});
