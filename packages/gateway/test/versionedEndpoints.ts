/**
 * Endpoints of several software versions, whose events state the version that wrote them, and callers that take streams up at any
 * instance. What two versions write does not fit together, and the endpoints do not check it.
 */
import { RouteKind, type Route } from "@gladewall/gateway";
import {
  ampleRetries,
  type CallResult,
  createRoute,
  type EndpointRequest,
  createInstanceAddress,
  createPathName,
  findInstancePath,
  GatewayTestBench,
  type PathFault,
  PathFaults,
  ScriptedEndpoint,
  waitUntil,
} from "@gladewall/standins";
import type { Test } from "tap";

/** Events of a stream. */
export const eventCount = 6;

/** An endpoint to start: its id, the version that its record states, and its service. */
export interface VersionedEndpoint {
  readonly id: string;
  readonly version: string | undefined;
  readonly service?: string;
}

/** Path of the route whose streams may be resumed. */
export const streamPath = "/stream/";

/** Creates the route whose streams may be resumed. */
export function createStreamRoute(route: Partial<Route> = {}): Route {
  return createRoute({
    name: "stream",
    prefix: streamPath,
    kind: RouteKind.Stream,
    isResumable: true,
    attempts: 4,
    timeoutMs: 10_000,
    ...route,
  });
}

/** How an endpoint serves one request: it breaks off after as many events as are given, or not at all. */
export type BreakOff = (call: EndpointRequest, endpoint: string) => number | undefined;

/** Instances on loopback, endpoints of several versions, and their callers. */
export class VersionedFleet {
  /** Decides where an endpoint breaks a stream off; nowhere by default. */
  breakOff: BreakOff = () => undefined;
  readonly endpoints = new Map<string, ScriptedEndpoint>();

  private constructor(
    readonly bench: GatewayTestBench,
    private readonly pathFaults: PathFaults,
  ) {}

  static async create(
    t: Pick<Test, "teardown">,
    instances: number,
    endpoints: readonly VersionedEndpoint[],
    routes: readonly Route[] = [createRoute({}), createStreamRoute()],
    settings: readonly string[] = [],
  ): Promise<VersionedFleet> {
    const pathFaults = PathFaults.install(findInstancePath);
    const bench = GatewayTestBench.create();
    bench.platform.getAddressFor = createInstanceAddress;
    const fleet = new VersionedFleet(bench, pathFaults);
    bench.platform.configure({ routes });
    for (const endpoint of endpoints) await fleet.addEndpoint(endpoint);
    for (let index = 0; index < instances; index++) await fleet.addInstance(settings);
    t.teardown(async () => {
      pathFaults.uninstall();
      await bench.close();
      await Promise.all([...fleet.endpoints.values()].map((endpoint) => endpoint.close()));
    });
    return fleet;
  }

  /** Starts an instance, and waits until it knows the endpoints and all instances are linked. */
  async addInstance(settings: readonly string[] = []): Promise<void> {
    await this.bench.startReady(this.countUsable("web"), "web", [ampleRetries, ...settings]);
    const { length } = this.bench.instances;
    await waitUntil(() =>
      this.bench.instances.every(
        ({ gateway }) =>
          gateway.linkedPeers === length - 1 && gateway.fleetSize === length && gateway.knowsRetryPart,
      ),
    );
  }

  /** Lets the paths from an instance to all endpoints fail. */
  cut(instance: number, fault: PathFault): void {
    for (const { address } of this.endpoints.values())
      this.pathFaults.set(createPathName(instance, address), fault);
  }

  /** Starts an endpoint and writes its record. */
  async addEndpoint({ id, version, service = "web" }: VersionedEndpoint): Promise<void> {
    const endpoint = await ScriptedEndpoint.create(id, (call) => this.respond(call, id, version));
    this.endpoints.set(id, endpoint);
    this.services.set(id, service);
    const { address } = endpoint;
    this.bench.platform.putEndpoint({ id, address, service, softwareVersion: version });
  }

  /** Removes an endpoint's record and resolves once all instances know that it is gone. */
  async removeEndpoint(id: string): Promise<void> {
    this.bench.platform.removeEndpoint(id);
    const service = this.services.get(id) ?? "web";
    this.services.delete(id);
    const expected = this.countUsable(service);
    await waitUntil(() =>
      this.bench.instances.every(({ gateway }) => gateway.countEndpoints(service) === expected),
    );
  }

  /** Resolves once all instances know an endpoint that was added while they ran. */
  async waitForEndpoints(service = "web"): Promise<void> {
    const expected = this.countUsable(service);
    await waitUntil(() =>
      this.bench.instances.every(({ gateway }) => gateway.countEndpoints(service) === expected),
    );
  }

  /** Sends a new stream to an instance; the caller leaves after some events if a number is given. */
  begin(instance: number, id: string, leaveAfter?: number, key?: string): Promise<CallResult> {
    return this.send(instance, { id, key, leaveAfter, headers: {} });
  }

  /** Takes a stream up at an instance after the last event of `text`, as begun by the attempt `resumes`. */
  takeUp(
    instance: number,
    id: string,
    resumes: string | undefined,
    text: string,
    key?: string,
  ): Promise<CallResult> {
    const headers = {
      "last-event-id": String(countEvents(text)),
      ...(resumes !== undefined && { resumes }),
    };
    return this.send(instance, { id, key, headers });
  }

  private readonly services = new Map<string, string>();

  private countUsable(service: string): number {
    return [...this.services.values()].filter((name) => name === service).length;
  }

  private async send(
    instance: number,
    {
      id,
      key,
      leaveAfter,
      headers,
    }: {
      id: string;
      key?: string | undefined;
      leaveAfter?: number | undefined;
      headers: Readonly<Record<string, string>>;
    },
  ): Promise<CallResult> {
    const leaving = new AbortController();
    let text = "";
    const onData = (part: string): void => {
      text += part;
      if (leaveAfter !== undefined && countEvents(text) >= leaveAfter) leaving.abort();
    };
    const options = { id, path: streamPath, headers, onData, signal: leaving.signal };
    const result = await this.bench.call(
      this.bench.instances[instance]!,
      key === undefined ? options : { ...options, key },
    );
    return { ...result, body: text };
  }

  private respond(call: EndpointRequest, id: string, version: string | undefined): void {
    const { response } = call;
    const after = Number(call.headers["last-event-id"] ?? 0);
    const breakAfter = this.breakOff(call, id);
    response.writeHead(200, {
      "x-id": call.id,
      "x-stamp": id,
      "content-type": "text/event-stream",
    });
    const send = (index: number): void => {
      if (response.destroyed) return;
      if (breakAfter !== undefined && index >= after + breakAfter) {
        call.socket.resetAndDestroy();
        return;
      }
      if (index === eventCount) {
        response.end();
        return;
      }
      response.write(`id: ${index + 1}\ndata: ${version ?? "unstated"}\n\n`, () => send(index + 1));
    };
    send(after);
  }
}

/** Returns the versions that wrote the events of a text, each once. */
export function listVersions(text: string): readonly string[] {
  const found = [...text.matchAll(/^data: (.*)$/gm)].map(([, version]) => version!);
  return [...new Set(found)];
}

/** Returns the number of events of a text. */
export function countEvents(text: string): number {
  return text.split("\n\n").length - 1;
}

/** Endpoints of two versions. */
export const mixed = [
  { id: "a", version: "v1" },
  { id: "b", version: "v1" },
  { id: "c", version: "v1.1" },
  { id: "d", version: "v1.1" },
];
/** Endpoints of one version. */
export const single = mixed.slice(0, 2);
/** Streams of a test, enough that chance does not hide a wrong choice. */
export const rounds = 8;

/** Begins a stream at an instance whose caller leaves after two events. */
export async function begin(
  fleet: VersionedFleet,
  instance: number,
  id: string,
  key?: string,
): Promise<string> {
  const { body } = await fleet.begin(instance, id, 2, key);
  return body;
}

/** Ends an instance without a word to anybody, as a killed process ends. */
export async function kill(fleet: VersionedFleet, index: number): Promise<void> {
  const [{ gateway }] = fleet.bench.instances.splice(index, 1) as [(typeof fleet.bench.instances)[0]];
  await gateway.close();
}

/** The same for all instances. */
export async function killAll(fleet: VersionedFleet): Promise<void> {
  await Promise.all(fleet.bench.instances.splice(0).map(({ gateway }) => gateway.close()));
}
