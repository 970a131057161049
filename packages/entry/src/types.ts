/**
 * Types of a request in an entry, in the order of its processing: the parsed request, its envelope, the response, an
 * attempt at an endpoint, and the client of an endpoint.
 * @module
 */
import type { InstanceRecord, ServiceKind } from "@gladewall/coordination";
import type { Failure } from "@gladewall/kernel";
import type { LoadReport, RepeatRule } from "@gladewall/policy";
import type { Result } from "ts-results-es";

/** Name and value of a header. Lists of headers keep the order in which they were sent. */
export type Header = readonly [name: string, value: string];

/** API of a model request, which decides the format of its response. */
export enum ModelForm {
  Chat = 1,
  Text = 2,
}

/** Parameters of a model request that the entry uses. */
export interface ModelRequest {
  readonly form: ModelForm;
  readonly isStream: boolean;
  readonly includesUsage: boolean;
  /** Estimated number of tokens of the prompt, by `estimateTokens`. */
  readonly promptTokens: number;
  /** Largest number of tokens that the response may have. */
  readonly outputTokens: number;
  /**
   * Whether an interrupted response can be continued from its text. Requires one choice and no tools, log probabilities
   * or response format.
   */
  readonly isContinuable: boolean;
  /** Chained hashes of the prompt's blocks, by `hashPromptBlocks`. */
  readonly blocks: readonly number[];
}

/** An accepted request with everything that another entry needs to continue it. */
export interface Envelope {
  readonly id: string;
  readonly workspace: string;
  readonly service: string;
  readonly kind: ServiceKind;
  readonly class: string;
  readonly method: string;
  /** Path and query of the request at the endpoint. */
  readonly path: string;
  readonly headers: readonly Header[];
  readonly body: Uint8Array;
  readonly repeat: RepeatRule;
  /** Digest of workspace and `Idempotency-Key`; undefined without the header. */
  readonly keyDigest: string | undefined;
  /** Digest of service, method, path and body. It detects a different request with the same key. */
  readonly bodyDigest: string;
  readonly priority: number;
  readonly weight: number;
  /** Latency target of the policy row, milliseconds. */
  readonly latencyTarget: number;
  /** Name of the policy row that admitted the request. */
  readonly row: string;
  readonly model: ModelRequest | undefined;
  /** Wall clock time of acceptance, milliseconds. For display only; no decision depends on it. */
  readonly arrived: number;
}

/** Token counts as an engine reports them. */
export interface Usage {
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly cachedTokens: number;
}

/** Status and headers of a response. */
export interface ResponseHead {
  readonly status: number;
  readonly headers: readonly Header[];
}

/** A chunk of a response: a token of a model, or bytes of a web service. */
export interface ResponseChunk {
  /** Token position, or byte offset. */
  readonly position: number;
  readonly data: string | Uint8Array;
  /** Choices as JSON, as the engine sent them; undefined if they hold only text. */
  readonly choices?: string | undefined;
  readonly finish?: string | undefined;
  readonly usage?: Usage | undefined;
}

/** Parameters of one attempt to run a request at an endpoint. */
export interface Dispatch {
  readonly envelope: Envelope;
  readonly runId: string;
  readonly attempt: number;
  /** Number of tokens that the caller received from earlier attempts; the run continues after them. */
  readonly emitted: number;
  /** Text of those tokens. */
  readonly emittedText: string;
  /** Address of the earlier run's KV cache as `host:port/path`; undefined if it can't be fetched. */
  readonly cacheSource: string | undefined;
  /** Rest of a body that is too large to be held in memory; undefined if `envelope.body` is the whole body. */
  readonly rest: AsyncIterable<Uint8Array> | undefined;
}

/**
 * Receives an endpoint's response. The next chunk is read only after `add` has resolved, which applies backpressure.
 */
export interface RunSink {
  setHead(head: ResponseHead): void;
  /** Receives the load that an endpoint reports in its response head. */
  setLoad(report: LoadReport): void;
  add(chunk: ResponseChunk): Promise<void>;
}

/** Result of cancelling a run, as the endpoint reports it. */
export enum CancelOutcome {
  /** The run had not started, so nothing was executed. */
  NotStarted = 1,
  /** The run had started. */
  Started = 2,
  /** The run is unknown at the endpoint, or the endpoint did not respond. */
  Unknown = 3,
}

/** Client of one endpoint, for one protocol. */
export interface EndpointClient {
  /** Runs a request until its response is complete. */
  run(dispatch: Dispatch, sink: RunSink, signal: AbortSignal): Promise<Result<void, Failure>>;
  /** Attaches to an existing run and reads it from `dispatch.emitted` on. Fails with `EndpointRunUnknown`. */
  resume(dispatch: Dispatch, sink: RunSink, signal: AbortSignal): Promise<Result<void, Failure>>;
  /** Cancels a run and returns whether the endpoint had started it. */
  cancel(runId: string): Promise<CancelOutcome>;
  /** Returns the address at which another endpoint can fetch a run's KV cache; undefined if this protocol has none. */
  getCacheSource(runId: string): string | undefined;
  /** Requests the endpoint's load report. */
  readLoad(): Promise<Result<LoadReport, Failure>>;
  close(): Promise<void>;
}

/** Options of an endpoint client. */
export interface EndpointOptions {
  readonly record: InstanceRecord;
  /** Longest time to open a connection, milliseconds. */
  readonly connectTimeout: number;
  /** Time without a byte after which a response counts as interrupted, milliseconds. */
  readonly idleTimeout: number;
}

/** Options of plug-ins that connect to one address. */
export interface AddressOptions {
  readonly address: string;
  /** Longest time of a call, milliseconds. */
  readonly timeout: number;
}
