/**
 * Reads the events of a model engine's stream.
 *
 * The SSE id of each event is `attempt:position`. Events of another attempt and events that were already received are
 * discarded. A gap in the positions, or a stream that ends without `[DONE]`, is an interrupted response. So is one that
 * brings nothing of the run for too long, whatever else it sends; one without end is no response.
 * @module
 */
import { type Clock, Failure, FailureCode } from "@gladewall/kernel";
import { createParser, type EventSourceMessage } from "eventsource-parser";
import { Err, Ok, type Result } from "ts-results-es";
import type { Dispatch, RunSink, Usage } from "../types.js";

interface EngineChoice {
  readonly text?: string;
  readonly delta?: { readonly content?: string | undefined };
  readonly finish_reason?: string | undefined;
}

interface EngineChunk {
  readonly choices?: readonly EngineChoice[];
  readonly usage?: {
    readonly prompt_tokens?: number;
    readonly completion_tokens?: number;
    readonly prompt_tokens_details?: { readonly cached_tokens?: number };
  };
}

/** Options of a reader. */
export interface FrameReaderOptions {
  /** Id of the endpoint, for failures. */
  readonly endpoint: string;
  /** Milliseconds of silence after which the endpoint's connection is closed. */
  readonly idleTimeout: number;
  readonly clock: Clock;
}

const endOfStream = "[DONE]";
/** Bytes within which an event of the run ends; it holds a token, or the whole response. */
const maxBytesWithoutEvent = 1_048_576;
/** Bytes of a whole stream. */
const maxStreamBytes = 67_108_864;
/** Times the idle timeout for which comments may keep a stream open, as engines send them while a prompt waits. */
const maxIdleTimeoutsWithoutEvent = 4;

/** Parses the events of one stream and passes their chunks to a sink. */
export class FrameReader {
  private next: number;
  private failure: Failure | undefined;
  private hasFinish = false;
  private isDone = false;
  private readonly events: EventSourceMessage[] = [];
  private readonly parser = createParser({ onEvent: (event) => this.events.push(event) });
  private readonly decoder = new TextDecoder();
  private streamBytes = 0;
  /** What was received of the stream before the last event of the run, or the part that brought it. */
  private eventBytes = 0;
  /** Monotonic time of the last event of the run. */
  private eventAt: number;

  private constructor(
    private readonly dispatch: Dispatch,
    private readonly sink: RunSink,
    private readonly options: FrameReaderOptions,
  ) {
    this.next = dispatch.emitted;
    this.eventAt = options.clock.getTime();
  }

  static create(dispatch: Dispatch, sink: RunSink, options: FrameReaderOptions): FrameReader {
    return new FrameReader(dispatch, sink, options);
  }

  /** Reads a stream to its end marker; reads no further if it exceeds a bound. */
  async read(body: AsyncIterable<Uint8Array>): Promise<Result<void, Failure>> {
    for await (const bytes of body) {
      this.streamBytes += bytes.length;
      const excess = this.findExcess();
      if (excess) return Err(excess);
      this.parser.feed(this.decoder.decode(bytes, { stream: true }));
      for (const event of this.events.splice(0)) {
        await this.handleEvent(event);
        if (this.failure) return Err(this.failure);
        if (this.isDone) return Ok.EMPTY;
      }
    }
    return Err(Failure.create(FailureCode.EndpointCut, { endpoint: this.options.endpoint }));
  }

  /** Returns the failure of a stream that exceeds a bound. */
  private findExcess(): Failure | undefined {
    const { endpoint, idleTimeout, clock } = this.options;
    const unusedBytes = this.streamBytes - this.eventBytes;
    if (this.streamBytes > maxStreamBytes || unusedBytes > maxBytesWithoutEvent)
      return Failure.create(FailureCode.EndpointBadAnswer, { endpoint });
    const unusedMs = clock.getTime() - this.eventAt;
    return unusedMs > maxIdleTimeoutsWithoutEvent * idleTimeout
      ? Failure.create(FailureCode.EndpointCut, { endpoint })
      : undefined;
  }

  private async handleEvent(event: EventSourceMessage): Promise<void> {
    if (event.data === endOfStream) {
      // Without a finish reason before it, `[DONE]` does not end a complete response.
      if (this.hasFinish) this.isDone = true;
      else this.failure = Failure.create(FailureCode.EndpointCut, { endpoint: this.options.endpoint });
      return;
    }
    const match = /^(\d+):(\d+)$/.exec(event.id ?? "");
    const attempt = Number(match?.[1]);
    const position = Number(match?.[2]);
    if (!match) return this.failBadResponse();
    if (attempt !== this.dispatch.attempt || position < this.next) return;
    if (position > this.next) {
      this.failure = Failure.create(FailureCode.EndpointCut, { endpoint: this.options.endpoint });
      return;
    }
    const chunk = tryParseChunk(event.data);
    if (!chunk) return this.failBadResponse();
    await this.addChunk(chunk, position, event.data);
  }

  private failBadResponse(): void {
    this.failure = Failure.create(FailureCode.EndpointBadAnswer, { endpoint: this.options.endpoint });
  }

  private async addChunk(chunk: EngineChunk, position: number, text: string): Promise<void> {
    const choice = chunk.choices?.[0];
    const data = choice?.delta?.content ?? choice?.text ?? "";
    const finish = choice?.finish_reason ?? undefined;
    const choices = this.dispatch.envelope.model?.isContinuable ? undefined : getChoicesText(text);
    if (finish === undefined) this.next = position + 1;
    else this.hasFinish = true;
    await this.sink.add({ position, data, choices, finish, usage: getUsage(chunk, this.dispatch.emitted) });
    // Time that a slow caller takes is not the engine's.
    this.eventBytes = this.streamBytes;
    this.eventAt = this.options.clock.getTime();
  }
}

function tryParseChunk(text: string): EngineChunk | undefined {
  try {
    return JSON.parse(text) as EngineChunk;
  } catch {
    return undefined;
  }
}

function getChoicesText(text: string): string {
  return JSON.stringify((JSON.parse(text) as EngineChunk).choices ?? []);
}

function getUsage(chunk: EngineChunk, emitted: number): Usage | undefined {
  if (!chunk.usage) return undefined;
  return {
    // The prompt of a continued run includes the response so far, which the caller did not send.
    promptTokens: (chunk.usage.prompt_tokens ?? 0) - emitted,
    outputTokens: (chunk.usage.completion_tokens ?? 0) + emitted,
    cachedTokens: chunk.usage.prompt_tokens_details?.cached_tokens ?? 0,
  };
}
