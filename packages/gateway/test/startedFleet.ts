/**
 * Starts a fleet of instances for one test, one after the other, with one endpoint that is listed for all of them.
 * Each instance has a greater capacity than the one before it.
 * @module
 */
import type { Test } from "tap";
import { respondSuccess, GatewayTestBench, ScriptedEndpoint } from "@gladewall/standins";

/** Starts `size` instances on a platform that `prepare` has configured; `overrides` are `section.key=value`. */
export async function startFleet(
  t: Pick<Test, "teardown">,
  size: number,
  prepare: (bench: GatewayTestBench) => void,
  overrides: readonly string[],
) {
  const bench = GatewayTestBench.create();
  prepare(bench);
  const endpoint = await ScriptedEndpoint.create("b", respondSuccess);
  bench.platform.putEndpoint({ id: "b", address: endpoint.address });
  for (let index = 0; index < size; index++) {
    await bench.startReady(1, "web", [...overrides, `peers.capacity=${index}`]);
  }
  t.teardown(() => Promise.all([bench.close(), endpoint.close()]));
  return { bench, endpoint, instances: bench.instances };
}
