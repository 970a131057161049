/**
 * Test bench of the gateway: one or more instances on loopback in front of a fake platform, and a caller that reads
 * complete responses.
 * @module
 */
import { type IncomingHttpHeaders, type IncomingMessage, request } from "node:http";
import {
  Gateway,
  gatewaySchema,
  type GatewaySettings,
  renamedGatewaySettings,
  type SlotSchedulerFactory,
} from "@gladewall/gateway";
import { assertThat, type Closeable, Logger, parseSettings } from "@gladewall/kernel";
import { findFreeAddresses } from "./freePorts.js";
import { connectAndTrackEnd, CallerEnd } from "./callerEnd.js";
import { readCallerText } from "./streamText.js";
import { FakePlatform, fakePlatformName } from "./fakePlatform.js";

/** Result of a request as its caller saw it. */
export interface CallResult {
  /** Status of the response; 0 without a response head. */
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
  /** Whether the response ended as its frame announced, or without one by an orderly close of its connection. */
  readonly isComplete: boolean;
  /** What the caller can know of the response's end. */
  readonly end: CallerEnd;
}

/** A request that a caller sends, with defaults for missing fields. */
export interface CallOptions {
  readonly id?: string;
  readonly method?: string;
  readonly path?: string;
  readonly host?: string;
  readonly key?: string;
  readonly body?: string;
  readonly headers?: Readonly<Record<string, string>>;
  /** Called with each chunk of the response body. */
  readonly onData?: (text: string) => void;
  readonly signal?: AbortSignal;
}

/** An instance and its settings, which hold its addresses. */
export interface BenchInstance {
  readonly gateway: Gateway;
  readonly settings: GatewaySettings;
}

/** Setting with which an instance may retry from its start on, as time earns retries at once. */
export const ampleRetries = "retries.slack=1000";

let nextId = 1;

/** The instances of one test and their platform. */
export class GatewayTestBench implements Closeable {
  readonly instances: BenchInstance[] = [];
  /** Scheduler of slots of the instances that are started from now on; undefined for the gateway's own. */
  createSlotScheduler: SlotSchedulerFactory | undefined;

  private constructor(
    readonly platform: FakePlatform,
    private readonly logger: Logger,
  ) {}

  static create(
    platform: FakePlatform = FakePlatform.create(),
    logger: Logger = Logger.createSilent(),
  ): GatewayTestBench {
    return new GatewayTestBench(platform, logger);
  }

  /** Starts an instance with settings overrides of the form `section.key=value`. Resolves when its ports are open. */
  async start(overrides: readonly string[] = []): Promise<BenchInstance> {
    const [callers, readiness, peers, metrics] = await findFreeAddresses(4);
    const text = [
      "[instance]",
      `name = instance-${this.instances.length + 1}`,
      "hall = a",
      "first_start = true",
      "[listen]",
      `callers = ${callers}`,
      `readiness = ${readiness}`,
      `peers = ${peers}`,
      `metrics = ${metrics}`,
      "[platform]",
      `adapter = ${fakePlatformName}`,
      `store_address = ${this.platform.address}`,
      "orders_address = standin:1",
      "[peers]",
      "secret = bench",
    ].join("\n");
    const source = { file: "bench.ini", environment: {}, overrides, renamed: renamedGatewaySettings };
    const settings = parseSettings(gatewaySchema, text, source);
    assertThat(settings.isOk(), "the settings of the test bench are valid");
    const gateway = Gateway.create(settings.value, this.logger, undefined, this.createSlotScheduler);
    assertThat(gateway.isOk(), "the platform of the test bench is registered");
    const instance = { gateway: gateway.value, settings: settings.value };
    this.instances.push(instance);
    await instance.gateway.start();
    return instance;
  }

  /** Starts an instance and waits until it is ready and knows the given number of endpoints of a service. */
  async startReady(
    endpoints: number,
    service = "web",
    overrides: readonly string[] = [],
  ): Promise<BenchInstance> {
    const instance = await this.start(overrides);
    await waitUntil(
      () => instance.gateway.isReady() && instance.gateway.countEndpoints(service) >= endpoints,
    );
    return instance;
  }

  /** Sends one request to an instance and resolves with its result. Never rejects. */
  call(instance: BenchInstance, options: CallOptions = {}): Promise<CallResult> {
    const { callers } = instance.settings.listen;
    const port = Number(callers.slice(callers.lastIndexOf(":") + 1));
    const { id = `request-${nextId++}`, method = "GET", path = "/", host = "app.test", key, body } = options;
    const headers: Record<string, string> = { host, "x-id": id, ...options.headers };
    if (key !== undefined) headers.authorization = key;
    return new Promise((resolve) => {
      const createConnection = connectAndTrackEnd;
      const sent = request({ host: "127.0.0.1", port, method, path, headers, createConnection });
      const none = { status: 0, headers: {}, body: "", isComplete: false, end: CallerEnd.None };
      options.signal?.addEventListener("abort", () => sent.destroy());
      let hasResponse = false;
      // Node.js reports a reset here too if it arrives in the middle of a response, which is resolved by its own end.
      sent.on("error", () => {
        if (!hasResponse) resolve(none);
      });
      sent.on("response", (response) => {
        hasResponse = true;
        let text = "";
        response.setEncoding("utf8");
        response.on("data", (part: string) => {
          text += part;
          options.onData?.(part);
        });
        response.on("error", () => undefined);
        response.on("close", () => resolve(createResult(response, text)));
      });
      sent.end(body);
    });
  }

  /** Returns the text of an instance's metrics page. */
  async readMetrics({ settings }: BenchInstance): Promise<string> {
    return (await fetch(`http://${settings.listen.metrics}/metrics`)).text();
  }

  async close(): Promise<void> {
    await Promise.all(this.instances.map(({ gateway }) => gateway.close()));
  }
}

function createResult(response: IncomingMessage, body: string): CallResult {
  const { statusCode: status = 0, headers } = response;
  const { text, end } = readCallerText(response, body);
  return { status, headers, body: text, isComplete: end !== CallerEnd.Broken, end };
}

/** Resolves when a condition holds. Checks it in each iteration of the event loop, so that no duration is assumed. */
export async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => setImmediate(resolve));
}
