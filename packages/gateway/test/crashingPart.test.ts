/*
 * Guards against a part of a prompt that crashes each endpoint which begins a response on it. No two requests with it are alike, so
 * that each looked like a new one: under requests with one part 29 endpoints of a service of six crashed twice in 75 s, and most
 * sound requests, which share their caller and their other parts, were refused:
 *
 *   event=stream.cut instance=edge-zogno-2 request=12163dd58223e554 endpoint=i-c6fb98aee4
 *   event=stream.cut instance=edge-zogno-2 request=12163dd58223e554 endpoint=i-cfb7c8f667
 *   event=endpoint.ended instance=edge-zogno-2 endpoint=i-cfb7c8f667 aboard=2 suspects=1
 */
import t, { type Test } from "tap";
import { RouteKind } from "@gladewall/gateway";
import { respondSuccess, startEventStream } from "@gladewall/standins";
import { deadlyPart, startPartFleet } from "./crashingParts.js";

/** Endpoints that may crash under one part. */
const maxCrashes = 3;
const rounds = 10;

async function checkPlace(t: Test, place: number): Promise<void> {
  const { endpoints, send, replaceReported } = await startPartFleet(t);
  const usual = ["first", "second", "third"];
  const deadly = usual.map((part, index) => (index === place ? deadlyPart : part));
  const sound = usual.map((part, index) => (index === place ? "other" : part));
  let served = 0;
  for (let round = 0; round < rounds; round++) {
    const [bad, good] = await Promise.all([send(deadly), send(sound)]);
    t.not(bad.status, 200);
    await replaceReported();
    const again = await send(sound);
    served += [good, again].filter(({ status }) => status === 200).length;
  }
  t.ok(endpoints.crashCount <= maxCrashes, `${endpoints.crashCount} crashed`);
  t.ok(served >= 0.9 * 2 * rounds, `${served} of ${2 * rounds} sound requests served`);
  const refused = await send(deadly);
  t.equal(refused.status, 503);
  t.ok(Number(refused.headers["retry-after"]) >= 10, "its caller is told to come back late");
}

t.test(
  "a part that crashes each endpoint crashes three at most, and sound requests with the other parts are served",
  async (t) => {
    for (const place of [0, 1, 2]) await t.test(`place ${place}`, (t) => checkPlace(t, place));
  },
);

t.test("a head and events before the crash do not clear a part", async (t) => {
  const { endpoints, send, replaceReported } = await startPartFleet(t, RouteKind.Stream);
  endpoints.onCrash = (call) => {
    startEventStream(call);
    call.response.write("id: 1\ndata: one\n\nid: 2\nda");
  };
  for (let round = 0; round < rounds; round++) {
    await Promise.all([send(["first", deadlyPart]), send(["first", "other"])]);
    await replaceReported();
  }
  t.ok(endpoints.crashCount <= maxCrashes, `${endpoints.crashCount} crashed`);
  endpoints.script = respondSuccess;
  t.equal((await send(["first", "other"])).status, 200);
});
