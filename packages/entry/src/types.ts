/**
 * Shapes of a request's life in an entry, in the order in which they come up.
 * @module
 */
import type { InstanceRecord, ServiceKind } from "@gladewall/coordination";
import type { Failure } from "@gladewall/kernel";
import type { LoadReport, RepeatRule } from "@gladewall/policy";
import type { Result } from "ts-results-es";

/** Header as name and value, in the order sent. */
export type Header = readonly [name: string, value: string];

/** Form of a model request's answer. */
export enum ModelForm {
  Chat = 1,
  Text = 2,
}

/** What a model request asks for, as far as the entry must know. */
export interface ModelRequest {
  readonly form: ModelForm;
  readonly isStream: boolean;
  readonly includesUsage: boolean;
  /** Tokens of the prompt, by the one rule. */
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Whether an answer can be continued from its text: one choice, no tools, no probabilities. */
  readonly isContinuable: boolean;
  /** Chained hashes of the prompt's blocks. */
  readonly blocks: readonly number[];
}

/** An accepted request: everything another entry needs to carry it on. */
export interface Envelope {
  readonly id: string;
  readonly workspace: string;
  readonly service: string;
  readonly kind: ServiceKind;
  readonly class: string;
  readonly method: string;
  /** Path and query at the endpoint. */
  readonly path: string;
  readonly headers: readonly Header[];
  readonly body: Uint8Array;
  readonly repeat: RepeatRule;
  /** Digest of workspace and `Idempotency-Key`; undefined without one. */
  readonly keyDigest: string | undefined;
  /** Digest of what was asked, to tell another request under the same key. */
  readonly bodyDigest: string;
  readonly priority: number;
  readonly weight: number;
  readonly latencyTarget: number;
  readonly row: string;
  readonly model: ModelRequest | undefined;
  /** Wall clock of acceptance, milliseconds; for people only. */
  readonly arrived: number;
}

/** Token counts as an engine reports them. */
export interface Usage {
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly cachedTokens: number;
}

/** Status and headers of an answer. */
export interface ResponseHead {
  readonly status: number;
  readonly headers: readonly Header[];
}

/** A piece of an answer: a token of a model, or bytes of a web service. */
export interface ResponseChunk {
  /** Token position, or byte offset. */
  readonly position: number;
  readonly data: string | Uint8Array;
  /** Choices as the engine sent them, where they hold more than text. */
  readonly choices?: string | undefined;
  readonly finish?: string | undefined;
  readonly usage?: Usage | undefined;
}

/** One attempt at running a request. */
export interface Dispatch {
  readonly envelope: Envelope;
  readonly runId: string;
  readonly attempt: number;
  /** Tokens already given, from which the run goes on. */
  readonly emitted: number;
  /** Their text. */
  readonly emittedText: string;
  /** Where the run's cache can be fetched from: `host:port/path`; undefined where it cannot. */
  readonly cacheSource: string | undefined;
  /** Rest of a body too large to be held; undefined where `envelope.body` is all of it. */
  readonly rest: AsyncIterable<Uint8Array> | undefined;
}

/** Takes what an endpoint answers. A promise that is pending holds the endpoint back. */
export interface RunSink {
  setHead(head: ResponseHead): void;
  /** Takes the load that an endpoint tells with its answer. */
  setLoad(report: LoadReport): void;
  add(chunk: ResponseChunk): Promise<void>;
}

/** What an endpoint says of a run it was told to cancel. */
export enum CancelOutcome {
  /** It never started: nothing was run. */
  NotStarted = 1,
  /** It had started. */
  Started = 2,
  /** It does not know, or did not answer. */
  Unknown = 3,
}

/** Speaks with one endpoint in its protocol. */
export interface EndpointClient {
  /** Runs a request to its end mark. */
  run(dispatch: Dispatch, sink: RunSink, signal: AbortSignal): Promise<Result<void, Failure>>;
  /** Attaches to a run that is already there, from a position on; fails with `EndpointRunUnknown`. */
  resume(dispatch: Dispatch, sink: RunSink, signal: AbortSignal): Promise<Result<void, Failure>>;
  /** Cancels a run and returns the endpoint's word about it. */
  cancel(runId: string): Promise<CancelOutcome>;
  /** Returns where another endpoint can fetch a run's cache from; undefined where this kind has none. */
  getCacheSource(runId: string): string | undefined;
  /** Reads the load report. */
  readLoad(): Promise<Result<LoadReport, Failure>>;
  close(): Promise<void>;
}

/** Options that endpoint plug-ins are created with. */
export interface EndpointOptions {
  readonly record: InstanceRecord;
  /** Milliseconds to open a connection. */
  readonly connectTimeout: number;
  /** Milliseconds without a byte after which an answer counts as cut. */
  readonly idleTimeout: number;
}

/** Options of plug-ins that are reached at one address. */
export interface AddressOptions {
  readonly address: string;
  /** Milliseconds a call may take. */
  readonly timeout: number;
}
