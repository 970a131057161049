/**
 * A fleet of instances in one process, in which the paths from each instance to the endpoints can fail.
 * @module
 */
import { RouteKind } from "@gladewall/gateway";
import {
  type BenchInstance,
  createInstanceAddress,
  createPathName,
  createRoute,
  findInstancePath,
  GatewayTestBench,
  type PathFault,
  PathFaults,
  respondSuccess,
  ScriptedEndpoint,
  ampleRetries,
  waitUntil,
} from "@gladewall/standins";
import type { Test } from "tap";

/** Path of the route whose requests run at most once; the others may be repeated. */
export const oncePath = "/once/";

/** Path of a route that responds with streams, which can't be resumed. */
export const streamPath = "/stream/";

/** Path of a route that responds with streams, which may be continued at another endpoint. */
export const resumablePath = "/resumable/";

/** Starts instances that are linked with each other, and endpoints of one service. */
export async function startCutOffFleet(
  t: Pick<Test, "teardown">,
  instanceCount: number,
  endpointCount: number,
  overrides: readonly string[] = [],
) {
  const faults = PathFaults.install(findInstancePath);
  const bench = GatewayTestBench.create();
  bench.platform.getAddressFor = createInstanceAddress;
  const routes = [
    createRoute({ attempts: 3 }),
    createRoute({ name: "once", prefix: oncePath, kind: RouteKind.Unsafe, timeoutMs: 2_000 }),
    createRoute({ name: "stream", prefix: streamPath, kind: RouteKind.Stream, timeoutMs: 10_000 }),
    createRoute({
      name: "resumable",
      prefix: resumablePath,
      kind: RouteKind.Stream,
      isResumable: true,
      attempts: 3,
      timeoutMs: 10_000,
    }),
  ];
  bench.platform.configure({ routes });
  const endpoints: ScriptedEndpoint[] = [];
  for (let index = 0; index < endpointCount; index++) {
    const endpoint = await ScriptedEndpoint.create(`e${index}`, respondSuccess);
    bench.platform.putEndpoint({ id: endpoint.id, address: endpoint.address });
    endpoints.push(endpoint);
  }
  for (let index = 0; index < instanceCount; index++) {
    await bench.startReady(endpointCount, "web", [ampleRetries, ...overrides]);
  }
  const isJoined = ({ gateway }: BenchInstance): boolean =>
    gateway.linkedPeers === instanceCount - 1 &&
    gateway.fleetSize === instanceCount &&
    gateway.knowsRetryPart;
  await waitUntil(() => bench.instances.every(isJoined));
  t.teardown(async () => {
    faults.uninstall();
    await bench.close();
    await Promise.all(endpoints.map((endpoint) => endpoint.close()));
  });
  /** Lets the paths from an instance to endpoints fail, to all of them if none is named. */
  const cut = (instance: number, fault: PathFault, lost: readonly ScriptedEndpoint[] = endpoints): void => {
    for (const { address } of lost) faults.set(createPathName(instance, address), fault);
  };
  const call = (instance: number, path = "/", id?: string) =>
    bench.call(bench.instances[instance]!, { method: "POST", path, ...(id !== undefined && { id }) });
  return { bench, endpoints, cut, call };
}

/** Returns the sum of the samples of a metric of an instance. */
export async function readMetric(bench: GatewayTestBench, instance: number, name: string): Promise<number> {
  const page = await bench.readMetrics(bench.instances[instance]!);
  const samples = page.matchAll(new RegExp(`^${name}(?:{[^}]*})? ([\\d.]+)$`, "gm"));
  return [...samples].reduce((sum, [, value]) => sum + Number(value), 0);
}
