/**
 * A service whose endpoints end under certain requests and come back, as a new life at a new port.
 * @module
 */
import { RouteKind } from "@gladewall/gateway";
import type { Closeable } from "@gladewall/kernel";
import {
  respondSuccess,
  type BenchInstance,
  createRoute,
  createWorkspace,
  type EndpointRequest,
  GatewayTestBench,
  ScriptedEndpoint,
  waitUntil,
} from "@gladewall/standins";
import type { Test } from "tap";

/** Body under which an endpoint ends. */
export const crashBody = "deadly";

/** Endpoints of one service. */
export class CrashingEndpoints implements Closeable {
  readonly alive = new Set<ScriptedEndpoint>();
  /** Endpoints that ended under a request. */
  ended = 0;
  private lives = 0;
  /** Endpoints that ended, and whose records are still there. */
  private gone: ScriptedEndpoint[] = [];
  /** Answers what ends no endpoint. */
  script: (call: EndpointRequest) => void = respondSuccess;
  /** Called with each request that ends its endpoint. */
  onDeadly: (call: EndpointRequest) => void = () => undefined;

  private constructor(private readonly bench: GatewayTestBench) {}

  static async create(bench: GatewayTestBench, count: number): Promise<CrashingEndpoints> {
    const endpoints = new CrashingEndpoints(bench);
    for (let index = 0; index < count; index++) await endpoints.add();
    return endpoints;
  }

  /** Starts one more endpoint and lists it. */
  async add(): Promise<ScriptedEndpoint> {
    this.lives += 1;
    const endpoint = await ScriptedEndpoint.create(`e${this.lives}`);
    endpoint.script = (call) => {
      if (!call.body.startsWith(crashBody)) return this.script(call);
      if (this.alive.has(endpoint)) this.onDeadly(call);
      this.end(endpoint);
    };
    this.alive.add(endpoint);
    this.bench.platform.putEndpoint({ id: endpoint.id, address: endpoint.address });
    return endpoint;
  }

  /** Ends an endpoint without a word: its connections are gone, new ones are refused, its record stays for a while. */
  end(endpoint: ScriptedEndpoint): void {
    if (!this.alive.delete(endpoint)) return;
    this.ended += 1;
    this.gone.push(endpoint);
    void endpoint.close();
  }

  /**
   * Starts endpoints in place of those that ended, whose records go. Every instance knows first that those have gone, then of
   * the new ones: by their number alone, as many old ones look the same.
   */
  async replace(): Promise<void> {
    while (this.gone.length > 0) {
      const gone = this.gone.splice(0);
      for (const { id } of gone) this.bench.platform.removeEndpoint(id);
      await waitUntil(() => this.isKnown());
      for (let index = 0; index < gone.length; index++) await this.add();
      await waitUntil(() => this.isKnown());
    }
  }

  /** Whether every instance knows as many endpoints as are listed; one that has ended is, until it is replaced. */
  private isKnown(): boolean {
    const listed = this.alive.size + this.gone.length;
    return this.bench.instances.every(({ gateway }) => gateway.countEndpoints("web") === listed);
  }

  async close(): Promise<void> {
    await Promise.all([...this.alive].map((endpoint) => endpoint.close()));
  }
}

/** Settings of an instance of a large fleet: it tells the readers alone, and they tell the others. */
export const largeFleet = ["peers.largest_mesh=3", "peers.large_fleet_interval=40"];

/** Instances before endpoints that may end; `isLarge` makes them tell each other as a large fleet does. */
export async function startCrashingFleet(
  t: Pick<Test, "teardown">,
  instanceCount: number,
  endpointCount: number,
  isLarge = false,
) {
  const bench = GatewayTestBench.create();
  const route = createRoute({ kind: RouteKind.Safe, attempts: 2 });
  const workspaces = [createWorkspace({}), createWorkspace({ name: "other", keys: ["other-key"] })];
  bench.platform.configure({ routes: [route], workspaces });
  const endpoints = await CrashingEndpoints.create(bench, endpointCount);
  const getOverrides = (index: number): readonly string[] =>
    isLarge ? [...largeFleet, `peers.capacity=${index}`] : [];
  for (let index = 0; index < instanceCount; index++) {
    await bench.startReady(endpointCount, "web", getOverrides(index));
  }
  const isTold = ({ gateway }: BenchInstance): boolean =>
    isLarge ? gateway.isReader || gateway.isFeedActive : gateway.linkedPeers === instanceCount - 1;
  await waitUntil(() => bench.instances.every(isTold));
  t.teardown(() => Promise.all([bench.close(), endpoints.close()]));
  return { bench, endpoints, getOverrides };
}

/** Sends the deadly request to an instance; endpoints that end under it come back before it resolves. */
export async function sendCrashRequest(
  bench: GatewayTestBench,
  endpoints: CrashingEndpoints,
  instance: BenchInstance,
  body = crashBody,
) {
  const answer = await bench.call(instance, { method: "POST", key: "key", body });
  await endpoints.replace();
  return answer;
}
