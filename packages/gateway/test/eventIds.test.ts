/*
 * Guards instances against ids of events that can't be sent in a header: when such a stream was broken off, the request that was to
 * continue it at another endpoint could not be created, and the process ended.
 */
import { CallerEnd, respondRaw, RawEnd, RawFraming, type ScriptedEndpoint } from "@gladewall/standins";
import t from "tap";
import { resumablePath, startCutOffFleet } from "./cutOffFleet.js";

const last = "id: 9\ndata: end\n\n";

/** Lets the first endpoint that is called break off after one event, and the others end the stream. Returns the ids received. */
function breakAfter(endpoints: readonly ScriptedEndpoint[], id: string): (string | undefined)[] {
  const body = `id: ${id}\ndata: a\n\n`;
  const received: (string | undefined)[] = [];
  for (const endpoint of endpoints) {
    endpoint.script = (call) => {
      const lastEventId = call.headers["last-event-id"];
      if (received.length === 0) {
        const sentBytes = Buffer.byteLength(body);
        respondRaw(call, { framing: RawFraming.Chunked, body: body + last, sentBytes, end: RawEnd.Closed });
      } else respondRaw(call, { framing: RawFraming.Chunked, body: last });
      received.push(lastEventId?.toString());
    };
  }
  return received;
}

t.test("a stream whose last id can't be sent in a header is broken off, and nothing else ends", async (t) => {
  const { endpoints, call } = await startCutOffFleet(t, 1, 2);
  for (const id of ["1\u0001", "\u007f", "\u001b[2J", " 2", "2\t"]) {
    const received = breakAfter(endpoints, id);
    const { status, body, end } = await call(0, resumablePath);
    t.match({ status, end }, { status: 200, end: CallerEnd.Broken }, JSON.stringify(id));
    t.equal(body, `id: ${id}\ndata: a\n\n`);
    t.equal(received.length, 1, "no other endpoint is asked to continue");
  }
});

t.test("a stream goes on after an id of any other bytes, which arrive as they were", async (t) => {
  const { endpoints, call } = await startCutOffFleet(t, 1, 2);
  for (const id of ["1", "€ 5", "ä", "a b\tc"]) {
    const received = breakAfter(endpoints, id);
    const { body, end } = await call(0, resumablePath);
    t.match({ body, end }, { body: `id: ${id}\ndata: a\n\n${last}`, end: CallerEnd.Framed }, id);
    t.equal(Buffer.from(received[1] ?? "", "latin1").toString("utf8"), id);
  }
});
