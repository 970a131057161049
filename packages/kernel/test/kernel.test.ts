import t from "tap";
import {
  createFromPlugin,
  Failure,
  FailureCode,
  failureDefinitions,
  formatLine,
  LatencyHistogram,
  Logger,
  LogLevel,
  Metrics,
  Outcome,
  PluginKind,
  registerPlugin,
  sortByRendezvous,
  VirtualClock,
  waitFor,
} from "../src/index.js";
import { addEncodedLatency, encodeLatency } from "../src/latencyCodec.js";

t.test("a logfmt line quotes special characters and escapes control characters", async (t) => {
  t.equal(formatLine({ a: 1, b: "x y", c: 'q"', d: undefined, e: "a=b" }), 'a=1 b="x y" c="q\\"" e="a=b"');
  t.equal(formatLine({ a: "line\nbreak\u001b[31m\u009b" }), 'a="line\\nbreak\\u001b[31m\\u009b"');
});

t.test("a logger writes one line per event at or above its level", async (t) => {
  const lines: string[] = [];
  const logger = Logger.create(LogLevel.Info, { entry: "e" }, (line) => lines.push(line));
  logger.debug("hidden");
  logger.with({ request: "r" }).warn("shown", { n: 2 });
  t.equal(lines.length, 1);
  t.match(lines[0], /^ts=\S+ level=warn event=shown entry=e request=r n=2$/);
});

t.test("every failure code has a definition, and its text is filled with the given values", async (t) => {
  for (const code of Object.values(FailureCode).filter((value) => typeof value === "number")) {
    t.ok(failureDefinitions[code].status >= 400 && failureDefinitions[code].status < 600, FailureCode[code]);
  }
  const failure = Failure.create(FailureCode.RateExceeded, { row: "a/b/c", limit: 3 }, 1500);
  t.equal(failure.text, "row a/b/c allows 3 requests/s");
  t.equal(failure.withOutcome(Outcome.Unknown).retryAfterMs, 1500);
});

t.test("metrics are written in the Prometheus text format", async (t) => {
  const metrics = Metrics.create();
  metrics.getCounter("requests_total", "Requests.", { row: 'a"b' }).add(2);
  metrics.getCounter("requests_total", "Requests.", { row: 'a"b' }).add();
  metrics.registerGauge("open", "Open.", () => 7);
  metrics.getLatencyHistogram("first_milliseconds", "First.").record(10);
  t.matchSnapshot(metrics.format());
});

t.test("latency histograms of several entries can be added up", async (t) => {
  const [left, right] = [new LatencyHistogram(), new LatencyHistogram()];
  for (let value = 1; value <= 50; value++) left.record(value);
  for (let value = 51; value <= 100; value++) right.record(value);
  addEncodedLatency(left, encodeLatency(right));
  t.equal(left.getCount(), 100);
  t.ok(Math.abs(left.getQuantile(0.95) - 95) < 0.2);
});

t.test("plug-ins are found by kind and name", async (t) => {
  registerPlugin<number, number>({
    kind: PluginKind.WeightStore,
    name: "double",
    create: (value) => value * 2,
  });
  t.equal(createFromPlugin<number, number>(PluginKind.WeightStore, "double", 21).unwrap(), 42);
  const unknown = createFromPlugin(PluginKind.WeightStore, "triple", 1).unwrapErr();
  t.equal(unknown.text, "no weight-store plug-in is named triple; known: double");
});

t.test("the virtual clock fires timers in order, and an aborted wait ends early", async (t) => {
  const clock = VirtualClock.create();
  const fired: string[] = [];
  clock.startTimer(20, () => fired.push("b"));
  clock.startTimer(10, () => fired.push("a"));
  clock.startTimer(10, () => fired.push("never")).cancel();
  const stop = new AbortController();
  void waitFor(clock, 1000, stop.signal).then(() => fired.push("aborted"));
  await clock.advance(15);
  t.same(fired, ["a"]);
  stop.abort();
  await clock.advance(10);
  t.same(fired, ["a", "aborted", "b"]);
  t.equal(clock.getTime(), 25);
});

t.test("removing a candidate from rendezvous hashing moves only the keys of that candidate", async (t) => {
  const names = ["a", "b", "c", "d", "e"];
  let moved = 0;
  for (let key = 0; key < 500; key++) {
    const before = sortByRendezvous(`k${key}`, names, (name) => name)[0];
    const after = sortByRendezvous(`k${key}`, names.slice(1), (name) => name)[0];
    if (before !== "a" && before !== after) moved += 1;
  }
  t.equal(moved, 0);
});
