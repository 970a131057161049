/**
 * Has all runners of a software version replaced by runners of another one while streams of the first go on, lowers their route's time
 * limit, and kills one instance. Clients take their broken streams up again, within their deadline. Exits with 1 if more than two streams hold events of two
 * versions.
 */
import { writeFileSync } from "node:fs";
import { setTimeout } from "node:timers";
import { send } from "../standins-2/clients.mjs";
import { getHost, Instances, sleep } from "../standins-2/instances.mjs";
import { Platform } from "../standins-2/platform.mjs";
import { Runners } from "../standins-2/runners.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
const streams = 16;
const events = 60;
const eventMs = 200;
const deadlineMs = 15_000;
const timeoutMs = 15_000;
const loweredMs = 800;
/** Time for which a runner serves on after its entry has gone. */
const drainMs = 2_000;
/** Tries after the first one, and the pause between two of them. */
const maxRetries = 3;
const pauseMs = 4_100;
/** When the earlier runners' entries go, and when one instance is killed, after the streams have begun. */
const leaveAfterMs = 100;
const killAfterMs = 13_300;

const platform = new Platform();
await platform.open(getHost(250));
const configure = (version, timeout) =>
  platform.put("op/config", {
    version,
    routes: [
      {
        name: "cab-query",
        host: "app.example",
        path_prefix: "/cab/",
        type: "stream",
        resumable: true,
        timeout_ms: timeout,
        goal_ms: 600,
        gap_goal_ms: 500,
        attempts: 2,
        service: "pool",
      },
    ],
    services: [{ name: "pool", max_conns: 370 }],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
    tenants: [{ name: "t1", api_keys: ["key-1"] }],
  });
configure(1, timeoutMs);
const createRunners = (version) =>
  new Runners(platform, {
    service: "pool",
    version,
    work: async (run, message, body, response) => {
      const after = Number(message.headers["last-event-id"] ?? 0);
      response.writeHead(200, { "Content-Type": "text/event-stream" });
      for (let event = after + 1; event <= events && !response.destroyed; event++) {
        response.write(`id: ${event}\ndata: ${version}\n\n`);
        await sleep(eventMs);
      }
      response.end();
    },
  });
const earlier = createRunners("v1");
const later = createRunners("v2");
const earlierRunners = [];
for (let index = 0; index < 3; index++)
  earlierRunners.push(await earlier.start(`a-${index}`, getHost(100 + index)));
const instances = new Instances(platform.address);
let exitCode = 2;
try {
  await instances.start(1);
  await instances.start(2);
  await sleep(4_000);
  const startedAt = Date.now();

  /** One client: begins a stream, and takes it up again where it was broken off. */
  const play = async (index) => {
    const tries = [];
    const texts = [];
    let last = 0;
    let begun;
    const begunAt = Date.now();
    for (let attempt = 0; attempt <= maxRetries; attempt++) {
      const leftMs = begunAt + deadlineMs - Date.now();
      if (leftMs < 100) break;
      const resumed = begun === undefined ? {} : { Resumes: begun, "Last-Event-Id": String(last) };
      const answer = await send({
        address: `${getHost(1 + ((index + attempt) % 2))}:8221`,
        key: "key-1",
        path: "/cab/1",
        headers: { "X-Gladewall-Deadline-Ms": String(leftMs), ...resumed },
        giveUpMs: leftMs,
      });
      const found = answer.status === 200 ? [...answer.body.matchAll(/id: (\d+)\ndata: (\w+)\n\n/g)] : [];
      if (found.length > 0) begun ??= answer.id;
      for (const [, id, version] of found) texts.push({ id: Number(id), version, at: Date.now() - begunAt });
      last = texts.at(-1)?.id ?? 0;
      tries.push({
        id: answer.id,
        atMs: answer.sentAt - begunAt,
        status: answer.status,
        events: found.length,
        detail: answer.detail,
      });
      if (last === events) break;
      await sleep(pauseMs);
    }
    return { tries, versions: [...new Set(texts.map(({ version }) => version))], last };
  };
  const played = Promise.all(Array.from({ length: streams }, (_, index) => play(index)));
  await sleep(leaveAfterMs);
  if (hasTrouble) {
    // The runners of the later version start; those of the earlier one take their entries away, serve on for the drain time, and end.
    for (let index = 0; index < 3; index++) await later.start(`b-${index}`, getHost(110 + index));
    for (const { id } of earlierRunners) platform.remove(`servers/${id}`);
    configure(2, loweredMs);
    setTimeout(() => earlier.close(), drainMs);
    await sleep(startedAt + killAfterMs - Date.now());
    instances.get(1).kill("SIGKILL");
    await instances.get(1).isOver;
    await instances.start(1, { isFirst: false });
  }
  const results = await played;
  const mixed = results.filter(({ versions }) => versions.length > 1);
  const summary = {
    trouble: hasTrouble,
    streams,
    joined: mixed.length,
    whole: results.filter(({ last }) => last === events).length,
    tookMs: Date.now() - startedAt,
  };
  const lines = results.map((result) => JSON.stringify(result));
  writeFileSync(new URL("record.txt", import.meta.url), `${JSON.stringify(summary)}\n${lines.join("\n")}\n`);
  console.log(JSON.stringify(summary));
  exitCode = mixed.length > 2 ? 1 : 0;
} catch (error) {
  console.error(error);
} finally {
  if (process.env.KEEP_LOG) writeFileSync(process.env.KEEP_LOG, instances.readLog(1));
  instances.close();
  earlier.close();
  later.close();
  platform.close();
}
process.exit(exitCode);
