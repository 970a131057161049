import { readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import t, { type Test } from "tap";
import { Gateway, gatewaySchema, RouteKind } from "@gladewall/gateway";
import { formatSettingsReference, Logger, LogLevel, parseSettings } from "@gladewall/kernel";
import {
  respondSuccess,
  startEventStream,
  createRoute,
  createWorkspace,
  GatewayTestBench,
  ScriptedEndpoint,
  waitUntil,
} from "@gladewall/standins";

/** Creates one instance whose log lines are recorded. */
async function createTestBench(t: Pick<Test, "teardown">, route: Parameters<typeof createRoute>[0]) {
  const lines: string[] = [];
  const bench = GatewayTestBench.create(
    undefined,
    Logger.create(LogLevel.Info, {}, (line) => lines.push(line)),
  );
  const workspaces = [createWorkspace({ ratePerSecond: 0.001, burst: 1 })];
  bench.platform.configure({ routes: [createRoute(route)], workspaces });
  const endpoint = await ScriptedEndpoint.create("b1", respondSuccess);
  bench.platform.putEndpoint({ id: "b1", address: endpoint.address });
  const instance = await bench.startReady(1);
  t.teardown(() => Promise.all([bench.close(), endpoint.close()]));
  const find = (event: string, part: string): string | undefined =>
    lines.find((line) => line.includes(`event=${event} `) && line.includes(part));
  return { bench, instance, endpoint, find };
}

t.test(
  "the log of a request refused for a limit shows the level, the capacity and the known share of the fleet",
  async (t) => {
    const { bench, instance, find } = await createTestBench(t, {});
    t.equal((await bench.call(instance, { key: "key" })).status, 200);
    t.equal((await bench.call(instance, { id: "limited", key: "key" })).status, 429);
    const line = find("request.refused", "request=limited");
    t.match(line, /status=429 failure=QuotaSpent/);
    t.match(line, /workspace workspace is over its limit .* 1 of 1 taken, 100 % of the fleet heard/);
    t.match(line, /retryAfterMs=\d+ version=1 proofAgeMs=\d+/);
  },
);

t.test(
  "the log of an interrupted stream shows its endpoint, whose own log lines show why it ended",
  async (t) => {
    const { bench, instance, endpoint, find } = await createTestBench(t, {
      kind: RouteKind.Stream,
      attempts: 1,
    });
    endpoint.script = (call) => {
      startEventStream(call);
      call.response.write("id: 1\ndata: a\n\n");
    };
    const onData = (): void => {
      bench.platform.putEndpoint({ id: "b1", address: endpoint.address, isLeaving: true });
      void waitUntil(() => instance.gateway.countEndpoints("web") === 0).then(() =>
        endpoint.requests[0]?.socket.destroy(),
      );
    };
    await bench.call(instance, { id: "cut", key: "key", method: "POST", body: "x", onData });
    await waitUntil(() => find("request.failed", "request=cut") !== undefined);
    t.match(find("stream.cut", "request=cut"), /endpoint=b1/);
    t.match(find("request.failed", "request=cut"), /failure=EndpointCut mayHaveRun=true endpoint=b1/);
    t.match(find("endpoint.state", "endpoint=b1"), /state=Leaving cause=record/);
  },
);

t.test("the log of a 504 shows the endpoint that did not respond", async (t) => {
  // With 50 ms the request was not sent in time on a busy machine.
  const { bench, instance, endpoint, find } = await createTestBench(t, { timeoutMs: 1_000, attempts: 1 });
  endpoint.script = () => undefined;
  t.equal((await bench.call(instance, { id: "late", key: "key" })).status, 504);
  await waitUntil(() => find("request.failed", "request=late") !== undefined);
  t.match(
    find("request.failed", "request=late"),
    /status=504 failure=RouteTimeout mayHaveRun=true endpoint=b1/,
  );
  const page = await bench.readMetrics(instance);
  t.match(page, /gladewall_requests_total\{service="web",status="504",failure="RouteTimeout"\} 1/);
  t.match(page, /gladewall_ready 1/);
});

t.test("the settings page matches the schema, and error messages name section and key", async (t) => {
  const page = fileURLToPath(new URL("../../../../docs/operating/gateway-settings.md", import.meta.url));
  t.equal(
    readFileSync(page, "utf8").trim(),
    `# Settings of a gateway instance\n\n${formatSettingsReference(gatewaySchema)}`.trim(),
  );
  const text = "[instance]\nname = n\nhall = z\n[listen]\ncallers = nowhere\n";
  const settings = parseSettings(gatewaySchema, text, { file: "f.ini", environment: {}, overrides: [] });
  const texts = settings.isErr() ? settings.error.map((failure) => failure.text) : [];
  t.ok(texts.some((found) => found.includes("[listen] callers is not an address")));
  t.ok(texts.some((found) => found.includes("[platform] adapter is missing")));
  const unknown = ["platform.adapter=none", "platform.store_address=h:1", "platform.orders_address=h:1"];
  const good = `${text.replace("nowhere", "h:1")}readiness = h:2\npeers = h:3\n[peers]\nsecret = s\n`;
  const read = parseSettings(gatewaySchema, good, { file: "f.ini", environment: {}, overrides: unknown });
  t.match(
    Gateway.create(read.unwrap(), Logger.createSilent()).unwrapErr().text,
    /no platform plug-in is named none/,
  );
});
