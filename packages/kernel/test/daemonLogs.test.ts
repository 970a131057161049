import { PassThrough, Writable } from "node:stream";
import t from "tap";
import { DaemonLogs, LineWriter, LogRateLimiter, LogLevel, VirtualClock } from "@gladewall/kernel";

/** Creates a stream whose reader reads nothing. */
function createStalledStream(): Writable {
  return new Writable({ write: () => undefined });
}

t.test("a flood of one event is limited, counted and reported, and does not hide other events", async (t) => {
  const clock = VirtualClock.create();
  const stream = new PassThrough();
  const logs = DaemonLogs.create(clock, LogLevel.Info, { instance: "n" }, LineWriter.create(stream));
  for (let count = 0; count < 1_000; count++) logs.logger.info("request.refused", { request: `r${count}` });
  logs.logger.info("store.lost", {});
  await clock.advance(1_000);
  const lines = String(stream.read()).trim().split("\n");
  t.equal(lines.filter((line) => line.includes("event=request.refused")).length, 60);
  t.equal(lines.filter((line) => line.includes("event=store.lost")).length, 1);
  t.match(lines.at(-1), /event=logs.thinned instance=n what=request.refused lines=940/);
  await logs.close();
});

t.test("an unlimited limiter admits every line, and a line below the level uses no allowance", async (t) => {
  const clock = VirtualClock.create();
  const unlimited = LogRateLimiter.createUnlimited();
  t.ok(Array.from({ length: 500 }, () => unlimited.tryAcquire("e")).every(Boolean));
  const stream = new PassThrough();
  const logs = DaemonLogs.create(clock, LogLevel.Info, {}, LineWriter.create(stream));
  for (let count = 0; count < 500; count++) logs.logger.debug("e", {});
  logs.logger.info("e", {});
  t.match(String(stream.read()), /event=e/);
  await logs.close();
});

t.test("a reader that reads nothing blocks no writer, and the buffer stays bounded", async (t) => {
  const stream = createStalledStream();
  const writer = LineWriter.create(stream, 1_000);
  for (let count = 0; count < 10_000; count++) writer.write("x".repeat(99));
  t.ok(stream.writableLength <= 1_100);
  t.equal(writer.takeDroppedCount(), 10_000 - 11);
  t.equal(writer.takeDroppedCount(), 0);
  await writer.flush(1);
});

t.test("a closed reader does not end the process", async (t) => {
  const stream = new Writable({ write: (_chunk, _encoding, done) => done(new Error("EPIPE")) });
  const writer = LineWriter.create(stream);
  writer.write("one");
  await new Promise((resolve) => setImmediate(resolve));
  writer.write("two");
  t.equal(writer.takeDroppedCount(), 1);
});
