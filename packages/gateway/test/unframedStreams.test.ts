/*
 * Guards against resumable streams that lack their last events: a stream without length or chunks, whose endpoint closed its connection in
 * order between two events and went on, reached its caller as if it had ended there.
 */
import { CallerEnd, RawEnd, RawFraming, respondRaw } from "@gladewall/standins";
import { Failure, FailureCode } from "@gladewall/kernel";
import { AttemptHistory, CreditPool } from "@gladewall/gateway";
import t from "tap";
import { resumablePath, startCutOffFleet } from "./cutOffFleet.js";
import { callUntilEnded, events, framings, script, stream } from "./scriptedStreams.js";

for (const end of [RawEnd.FrameClosed, RawEnd.Reset])
  for (const hidesClose of [false, true])
    for (const ends of [false, true]) {
      const name = `${RawEnd[end]}, ${hidesClose ? "without" : "with"} Connection: close, the endpoint ${ends ? "ended" : "goes on"}`;

      t.test(`a resumable stream without frame that ends between two events goes on: ${name}`, async (t) => {
        const fleet = await startCutOffFleet(t, 1, 6);
        for (let count = 1; count < events.length; count++) {
          const received = script(fleet, {
            framing: RawFraming.Unframed,
            count,
            end,
            hidesClose,
            ends,
          });
          const result = await fleet.call(0, resumablePath);
          t.equal(result.body, stream, `after ${count}`);
          t.not(result.end, CallerEnd.Broken);
          t.same(received, [0, count]);
        }
      });
    }

t.test("a resumable stream without frame goes on in each framing, and is cut again", async (t) => {
  const fleet = await startCutOffFleet(t, 1, 3);
  for (const framing of framings) {
    const received = script(fleet, { framing: RawFraming.Unframed, count: 1 }, { framing });
    t.equal((await fleet.call(0, resumablePath)).body, stream, RawFraming[framing]);
    t.same(received.slice(0, 2), [0, 1]);
    script(fleet, { framing, count: 1, end: RawEnd.Reset }, { framing: RawFraming.Unframed, count: 1 });
    t.equal((await fleet.call(0, resumablePath)).body, stream, `${RawFraming[framing]}, cut again`);
  }
});

t.test("a resumable stream without frame that is whole reaches its caller whole", async (t) => {
  const fleet = await startCutOffFleet(t, 1, 3);
  for (const framing of framings) {
    const received = script(fleet, { framing: RawFraming.Unframed }, { framing });
    const { body, end } = await fleet.call(0, resumablePath);
    t.same(
      { body, isBroken: end === CallerEnd.Broken },
      { body: stream, isBroken: false },
      RawFraming[framing],
    );
    t.same(received, [0, events.length], "one other endpoint says that nothing is left");
  }
});

t.test(
  "a stream whose end nobody can confirm is not told as complete, and is taken up where it ended",
  async (t) => {
    const fleet = await startCutOffFleet(t, 1, 1);
    for (let count = 1; count < events.length; count++) {
      const received = script(fleet, { framing: RawFraming.Unframed, count });
      const { body, end } = await fleet.call(0, resumablePath);
      t.equal(body, events.slice(0, count).join(""));
      t.equal(end, CallerEnd.Closed, "an orderly close without a frame, which says nothing");
      const rest = await callUntilEnded(fleet, body, 1);
      t.match(rest, { body: stream, end: CallerEnd.Framed });
      t.same(received, [0, count]);
    }
  },
);

t.test("a stream that is cut at each of its callers' tries arrives once and whole", async (t) => {
  const fleet = await startCutOffFleet(t, 2, 3);
  const unframed = { framing: RawFraming.Unframed, count: 1 };
  for (const end of [RawEnd.FrameClosed, RawEnd.Reset]) {
    const cut = { framing: RawFraming.Chunked, count: 1, end: RawEnd.Closed };
    script(fleet, cut, cut, { ...cut, after: 0 }, { ...unframed, end }, { ...unframed, after: 1 }, unframed);
    t.equal((await callUntilEnded(fleet, "", 4)).body, stream, RawEnd[end]);
  }
});

t.test(
  "a whole stream does not break because of what the endpoint says that is asked whether it goes on",
  async (t) => {
    const fleet = await startCutOffFleet(t, 1, 2);
    for (const status of [
      "204 No Content",
      "404 Not Found",
      "500 Internal Server Error",
      "503 Service Unavailable",
    ]) {
      let calls = 0;
      for (const endpoint of fleet.endpoints)
        endpoint.script = (call) => {
          calls += 1;
          if (calls === 1) return respondRaw(call, { framing: RawFraming.Unframed, body: stream });
          const length = status.startsWith("204") ? "" : "Content-Length: 2\r\n";
          const body = length === "" ? "" : "no";
          call.socket.end(
            `HTTP/1.1 ${status}\r\nx-id: ${call.id}\r\nx-stamp: s\r\nContent-Type: text/plain\r\n${length}Connection: close\r\n\r\n${body}`,
          );
        };
      const { body, end } = await fleet.call(0, resumablePath);
      t.same({ body, end }, { body: stream, end: CallerEnd.Closed }, status);
      t.equal(calls, 2);
    }
  },
);

t.test(
  "a whole stream ends although the endpoint that is asked whether it goes on never responds",
  async (t) => {
    const fleet = await startCutOffFleet(t, 1, 2);
    let calls = 0;
    for (const endpoint of fleet.endpoints)
      endpoint.script = (call) => {
        calls += 1;
        if (calls === 1) respondRaw(call, { framing: RawFraming.Unframed, body: stream });
      };
    const { body, end } = await fleet.call(0, resumablePath);
    t.same({ body, end, calls }, { body: stream, end: CallerEnd.Closed, calls: 2 });
  },
);

t.test(
  "a whole stream does not break because the endpoint that is asked whether it goes on goes back",
  async (t) => {
    const fleet = await startCutOffFleet(t, 1, 3);
    for (const framing of framings) {
      const back = { framing, after: events.length - 1 };
      const received = script(fleet, { framing: RawFraming.Unframed }, back, back);
      const { body, end } = await fleet.call(0, resumablePath);
      t.same({ body, end }, { body: stream, end: CallerEnd.Closed }, RawFraming[framing]);
      t.equal(received.length, 3, "a third one is asked");
    }
  },
);

t.test("a stream that another endpoint continues inside an event only is shown as broken", async (t) => {
  const fleet = await startCutOffFleet(t, 1, 2);
  let calls = 0;
  for (const endpoint of fleet.endpoints)
    endpoint.script = (call) => {
      calls += 1;
      const sentBytes = calls === 1 ? events[0]!.length : 4;
      const body = calls === 1 ? stream : events.slice(1).join("");
      respondRaw(call, { framing: RawFraming.Unframed, body, sentBytes });
    };
  const { body, end } = await fleet.call(0, resumablePath);
  t.same({ body, end, calls }, { body: events[0], end: CallerEnd.Broken, calls: 2 });
});

t.test("streams whose ends are unconfirmed leave retries for those that are interrupted", (t) => {
  const pool = CreditPool.create(10_000);
  pool.add("web", { amount: 8, lapsesAt: 5_000 }, 0);
  const failure = Failure.create(FailureCode.EndpointCut, { endpoint: "e" });
  const unconfirmed = AttemptHistory.create();
  unconfirmed.recordUnconfirmed(failure);
  const interrupted = AttemptHistory.create();
  interrupted.recordRunFailure(failure);
  const countTaken = ({ retryCause }: AttemptHistory): number => {
    let taken = 0;
    while (pool.tryTake("web", retryCause, 1)) taken += 1;
    return taken;
  };
  t.equal(countTaken(unconfirmed), 6);
  t.equal(countTaken(interrupted), 2);
  t.end();
});
