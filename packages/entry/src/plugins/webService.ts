/**
 * Plug-in `http-service`: client of plain web services. Bodies are streamed in both directions. A response is complete
 * only if its body ended as `content-length` or the chunked encoding says.
 * @module
 */
import { Readable } from "node:stream";
import { Failure, FailureCode, isFinalStatus, PluginKind, registerPlugin } from "@gladewall/kernel";
import { type LoadReport, RepeatRule } from "@gladewall/policy";
import { Err, Ok, type Result } from "ts-results-es";
import type { Pool } from "undici";
import { selectResponseHeaders } from "../headers.js";
import {
  CancelOutcome,
  type Dispatch,
  type EndpointClient,
  type EndpointOptions,
  type RunSink,
} from "../types.js";
import {
  type AbortableRequest,
  CallEffect,
  callService,
  createEndpointPool,
  isNeverSent,
  parseJson,
  sendRequest,
} from "./httpCall.js";
import { readLoadHeader } from "./loadHeader.js";

const startedHeader = "x-run-started";
/** Statuses with which a gateway reports a fault. A response with any other status is the service's own. */
const gatewayStatuses: ReadonlySet<number> = new Set([502, 503, 504]);
const bodilessMethods: ReadonlySet<string> = new Set(["GET", "HEAD"]);

/** Client of one endpoint of a web service. */
class WebClient implements EndpointClient {
  private readonly pool: Pool;

  private constructor(private readonly options: EndpointOptions) {
    const { connectTimeout, idleTimeout } = options;
    this.pool = createEndpointPool(options.record.address, connectTimeout, idleTimeout);
  }

  static create(options: EndpointOptions): WebClient {
    return new WebClient(options);
  }

  async run(dispatch: Dispatch, sink: RunSink, signal: AbortSignal): Promise<Result<void, Failure>> {
    const endpoint = this.options.record.id;
    let position = 0;
    try {
      const response = await sendRequest(this.pool, createRequest(dispatch, signal));
      if (!isFinalStatus(response.statusCode)) {
        // Without a listener the error of what is left unread would end the process.
        response.body.on("error", () => undefined).destroy();
        return Err(Failure.create(FailureCode.EndpointCut, { endpoint }));
      }
      const isRefusal = response.headers[startedHeader] === "no";
      if (isRefusal) {
        await response.body.dump();
        return Err(Failure.create(FailureCode.EndpointRefused));
      }
      if (mayRetryStatus(dispatch, response.statusCode)) {
        await response.body.dump();
        return Err(Failure.create(FailureCode.EndpointFailed, { endpoint, status: response.statusCode }));
      }
      const load = readLoadHeader(response.headers);
      if (load) sink.setLoad(load);
      sink.setHead({ status: response.statusCode, headers: selectResponseHeaders(response.headers) });
      for await (const bytes of response.body as AsyncIterable<Uint8Array>) {
        await sink.add({ position, data: bytes });
        position += bytes.length;
      }
      return Ok.EMPTY;
    } catch (error) {
      if (isNeverSent(error)) return Err(Failure.create(FailureCode.EndpointUnreachable, { endpoint }));
      return Err(Failure.create(FailureCode.EndpointCut, { endpoint }));
    }
  }

  async resume(): Promise<Result<void, Failure>> {
    // Plain web services keep no runs that could be resumed.
    return Err(Failure.create(FailureCode.EndpointRunUnknown, { endpoint: this.options.record.id }));
  }

  async cancel(): Promise<CancelOutcome> {
    return CancelOutcome.Unknown;
  }

  getCacheSource(): undefined {
    return undefined;
  }

  async readLoad(): Promise<Result<LoadReport, Failure>> {
    const timeout = this.options.connectTimeout;
    const response = await callService(this.pool, {
      method: "GET",
      path: "/load",
      effect: CallEffect.None,
      timeout,
    });
    return response.andThen((text) => parseJson<LoadReport>(text));
  }

  async close(): Promise<void> {
    await this.pool.destroy();
  }
}

function mayRetryStatus(dispatch: Dispatch, status: number): boolean {
  const isRepeatable = dispatch.envelope.repeat === RepeatRule.Allowed && dispatch.rest === undefined;
  return isRepeatable && gatewayStatuses.has(status);
}

function createRequest(dispatch: Dispatch, signal: AbortSignal): AbortableRequest {
  const { envelope } = dispatch;
  const headers: string[] = [];
  for (const [name, value] of envelope.headers) headers.push(name, value);
  headers.push(
    "x-run-id",
    dispatch.runId,
    "x-attempt",
    String(dispatch.attempt),
    "x-request-id",
    envelope.id,
  );
  const hasBody = envelope.body.length > 0 || !bodilessMethods.has(envelope.method);
  const body = dispatch.rest
    ? Readable.from(joinBody(envelope.body, dispatch.rest))
    : hasBody
      ? envelope.body
      : null;
  return { method: envelope.method, path: envelope.path, headers, body, signal };
}

async function* joinBody(head: Uint8Array, rest: AsyncIterable<Uint8Array>): AsyncGenerator<Uint8Array> {
  if (head.length > 0) yield head;
  yield* rest;
}

registerPlugin<EndpointOptions, EndpointClient>({
  kind: PluginKind.Endpoint,
  name: "http-service",
  create: (options) => WebClient.create(options),
});
