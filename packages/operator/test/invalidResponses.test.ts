/*
 * Guards an entry and its callers against bytes of a web service that are no response: a status that HTTP does not have reached the
 * caller, or a head that could not be written on became a fault of the entry.
 */
import t from "tap";
import { request } from "undici";
import { Logger, LogLevel } from "@gladewall/kernel";
import { fastEngineOptions, WebFault } from "@gladewall/standins";
import { LocalFleet, sampleConfiguration, sampleKeys } from "../src/index.js";

const lines: string[] = [];
const fleet = await LocalFleet.create({
  entries: 1,
  runners: 1,
  webEndpoints: 1,
  halls: ["zogno"],
  configuration: sampleConfiguration,
  engine: fastEngineOptions,
  logger: Logger.create(LogLevel.Info, {}, (line) => lines.push(line)),
  overrides: [],
});
t.teardown(() => fleet.close());

const heads = [
  "HTTP/1.1 000 OK",
  "HTTP/1.1 099 OK",
  "HTTP/1.1 103 Early Hints\r\nX: 1\r\n\r\nHTTP/1.1 000 OK",
  "HTTP/1.1 600 OK",
  "HTTP/1.1 999 OK",
  "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade",
  "HTTP/1.1 200 OK\r\nX: a\u0001b",
];

t.test("a head that is none costs a request its response, and nothing else", async (t) => {
  const web = [...fleet.webs.values()][0]!;
  const call = async () => {
    const response = await request(`http://${fleet.entries[0]!.addresses.front}/s/booking/bookings`, {
      method: "POST",
      headers: { authorization: `Bearer ${sampleKeys.dispatch}` },
      body: "{}",
    });
    await response.body.dump();
    return { status: response.statusCode };
  };
  for (const head of heads) {
    web.rawResponse = `${head}\r\nContent-Length: 2\r\n\r\nok`;
    web.fault = WebFault.Raw;
    const { status } = await call();
    t.equal(status, 502, JSON.stringify(head));
    web.fault = WebFault.None;
    t.equal((await call()).status, 201, `after ${JSON.stringify(head)}`);
  }
  t.same(
    lines.filter((line) => line.includes("front.fault")),
    [],
  );
});
