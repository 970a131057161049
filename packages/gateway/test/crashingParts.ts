/**
 * A fleet before endpoints that crash under one part of a prompt.
 * @module
 */
import type { Test } from "tap";
import { RouteKind } from "@gladewall/gateway";
import type { EndpointRequest, GatewayTestBench } from "@gladewall/standins";
import { startCrashingFleet } from "./crashingEndpoints.js";

const instanceCount = 3;
/** The part that crashes endpoints. */
export const deadlyPart = "deadly";

/** Whether a part is in a prompt and not its last one, which crashes no endpoint. */
function hasPart({ headers }: EndpointRequest, part: string): boolean {
  return String(headers["x-parts"]).split(",").slice(0, -1).includes(part);
}

/** Starts a fleet before endpoints that crash under a part, and returns how to send requests with given parts. */
export async function startPartFleet(t: Pick<Test, "teardown">, kind = RouteKind.Safe) {
  const fleet = await startCrashingFleet(t, instanceCount, 6, false, kind);
  const { bench, endpoints } = fleet;
  endpoints.isDeadly = (call) => hasPart(call, deadlyPart);
  let next = 0;
  const send = async (parts: readonly string[], key = "key") => {
    next += 1;
    const instance = bench.instances[next % bench.instances.length]!;
    const headers = { "x-parts": [...parts, `own${next}`].join() };
    return bench.call(instance, { method: "POST", key, body: `body ${next}`, headers });
  };
  /** Replaces crashed endpoints once their crashes are reported; their records outlast them by more than that takes. */
  const replaceReported = async () => {
    while ((await countReported(bench)) < endpoints.crashCount) await bench.call(bench.instances[0]!);
    await endpoints.replace();
  };
  return { ...fleet, send, replaceReported };
}

/** Counts the crashes that instances have reported. */
async function countReported(bench: GatewayTestBench): Promise<number> {
  const pages = await Promise.all(bench.instances.map((instance) => bench.readMetrics(instance)));
  const counts = pages.map(
    (page) => /^gladewall_endpoint_ends_total\{[^}]*\} (\d+)$/m.exec(page)?.[1] ?? "0",
  );
  return counts.reduce((sum, count) => sum + Number(count), 0);
}
