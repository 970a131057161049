// Two of six runners give part of their answers a status line whose code is 000, for 6.5 s. Counts the requests of kept connections that
// were passed on to the four sound runners and whose connections were closed without an answer (rule LOST).
import { performance } from "node:perf_hooks";
import { sendUntil, startDeployment } from "../lib/deployment.mjs";
import { wait } from "../lib/fleet.mjs";
import { createRecord, hasTrouble, playCase } from "../lib/record.mjs";

const runners = 6;
const faultyRunners = ["i-2", "i-5"];
/** One of so many answers of the faulty runners is spoilt: a share of 0.0286. */
const answersPerSpoilt = 35;
const beginsAfterMs = 4_000;
const lastsMs = 6_500;
const endsAfterMs = 14_000;
const clientsPerInstance = 12;
const pauseMs = 100;
/** The rule allows three. */
const allowedLosses = 3;

const record = createRecord(import.meta.url);

let answers = 0;

function isSpoilt(time) {
  if (!hasTrouble || time < beginsAfterMs || time >= beginsAfterMs + lastsMs) return false;
  answers += 1;
  return answers % answersPerSpoilt === 0;
}

await playCase(record, async () => {
  let startedAt = Infinity;
  const deployment = await startDeployment({
    runners,
    respond({ run, socket }) {
      if (!faultyRunners.includes(run.endpoint) || !isSpoilt(performance.now() - startedAt)) return false;
      run.isSpoilt = true;
      socket.end(`HTTP/1.1 000 \r\nX-Gladewall-Request-Id: ${run.id}\r\nContent-Length: 0\r\n\r\n`);
      return true;
    },
  });
  const { fleet, runs } = deployment;
  startedAt = performance.now();
  const createCall = () => ({ method: "POST", path: "/confirm/2f", body: "booking" });
  const endsAt = startedAt + endsAfterMs;
  const callers = fleet.instances.flatMap((instance) =>
    Array.from({ length: clientsPerInstance }, () => sendUntil(instance, endsAt, { pauseMs, createCall })),
  );
  const results = (await Promise.all(callers)).flat();
  await wait(200);
  await deployment.close();

  const runsById = new Map(runs.map((run) => [run.id, run]));
  for (const { name, at, code, signal } of fleet.ends) {
    record.add(`${name} ended by itself, code ${code}, signal ${signal}`, at);
  }
  for (const { id, instance, at, status, error, isKept, tookMs } of results) {
    const run = runsById.get(id);
    const where = run ? `run at ${run.endpoint}${run.isSpoilt ? ", answer spoilt" : ""}` : "not run";
    const connection = isKept ? "kept" : "new";
    record.add(
      `${id} to ${instance} on a ${connection} connection: ${status || `closed (${error})`}, ${where}, ${Math.round(tookMs)} ms`,
      at,
    );
  }
  const lost = results.filter(({ id, status, isKept }) => {
    const run = runsById.get(id);
    return status === 0 && isKept && run !== undefined && !faultyRunners.includes(run.endpoint);
  });
  const served = results.filter(({ status }) => status === 200).length;
  const spoilt = runs.filter((run) => run.isSpoilt).length;
  const summary = `${results.length} requests, ${served} served, ${spoilt} of ${runs.length} answers spoilt, ${fleet.ends.length} processes ended by themselves, ${lost.length} requests of kept connections lost that sound runners ran (allowed: ${allowedLosses})`;
  record.add(summary);
  console.log(summary);
  return lost.length <= allowedLosses;
});
