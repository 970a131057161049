/**
 * A test bench with one engine that only responds when the test makes it respond.
 * @module
 */
import type { Test } from "tap";
import { RouteKind } from "@gladewall/gateway";
import {
  type EndpointRequest,
  createRoute,
  createService,
  GatewayTestBench,
  ScriptedEndpoint,
} from "@gladewall/standins";

/** The bench and the requests in flight at its engine. */
export interface EngineTestBench {
  readonly bench: GatewayTestBench;
  /** Requests that the engine has received and not responded to. */
  readonly held: EndpointRequest[];
}

/** Creates the bench; the engine is registered as `b` and has eight slots. */
export async function createEngineTestBench(t: Pick<Test, "teardown">): Promise<EngineTestBench> {
  const bench = GatewayTestBench.create();
  bench.platform.configure({
    routes: [createRoute({ kind: RouteKind.Stream })],
    services: [createService({ engine: { slots: 8, tokenCapacity: 100_000 } })],
  });
  const held: EndpointRequest[] = [];
  const engine = await ScriptedEndpoint.create("b", (call) => void held.push(call));
  bench.platform.putEndpoint({ id: "b", address: engine.address });
  t.teardown(() => Promise.all([bench.close(), engine.close()]));
  return { bench, held };
}
