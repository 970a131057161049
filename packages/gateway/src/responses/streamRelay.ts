/**
 * Forwards a stream of events to the caller as they arrive, complete events only. If an endpoint's stream is interrupted,
 * the stream of another endpoint continues in the same response.
 * @module
 */
import type { ServerResponse } from "node:http";
import { containThrows } from "../failures/containedFailures.js";
import { ReadGate, type ReadGateOptions } from "../bodies/readGate.js";
import { EventHold } from "./eventHold.js";
import { EventSplitter, removeByteOrderMark } from "./eventSplitter.js";
import { type EndedResponse, endConsequences, type EndpointResponse, readEndOrFail } from "./responseEnd.js";
import { isHeaderValue } from "./responseHead.js";
import { copyResponseHeaders } from "./responseHeaders.js";
import { isFramed, writeResponseHead } from "./responseWriter.js";

const firstRedirectStatus = 300;
const eventStreamPattern = /^\s*text\/event-stream\s*(?:;|$)/i;

/** Whether a response is a stream of events: it is a success, and states no other type. */
export function isEventStream({ message }: EndpointResponse): boolean {
  const { statusCode = 0, headers } = message;
  const isSuccess = statusCode < firstRedirectStatus;
  return isSuccess && eventStreamPattern.test(headers["content-type"] ?? "text/event-stream");
}

/** Options of a relay. */
export interface StreamRelayOptions extends Pick<ReadGateOptions, "clock" | "pace"> {
  readonly isResumable: boolean;
  /** Whether the instance is leaving, so that the response should close its connection. */
  readonly isLeaving: () => boolean;
}

/** The streamed response of one request, over all attempts. */
export class StreamRelay {
  private splitter: EventSplitter;
  private lastId: string | undefined;
  private endsWithoutId = false;

  private constructor(
    private readonly response: ServerResponse,
    private readonly options: StreamRelayOptions,
  ) {
    this.splitter = EventSplitter.create(options.isResumable);
  }

  static create(response: ServerResponse, options: StreamRelayOptions): StreamRelay {
    return new StreamRelay(response, options);
  }

  /** Id of the last event that was forwarded, as it is sent in a header; undefined before the first. */
  get lastEventId(): string | undefined {
    return this.splitter.lastEventId ?? this.lastId;
  }

  /** Whether another endpoint can continue after the last event that was forwarded, without a gap and without repeating one. */
  canContinue(): boolean {
    const isAfterEvent = !this.endsWithoutId && !this.splitter.hasReturnedPart;
    return this.options.isResumable && isAfterEvent && isHeaderValue(this.lastEventId ?? "");
  }

  /**
   * Whether the response may end now, given how the last endpoint's stream ended. A stream of which nothing has been forwarded ends only as
   * complete: the caller would take it for an empty one.
   */
  canFinish({ end }: EndedResponse): boolean {
    const { isComplete, mayClose } = endConsequences[end];
    return isComplete || (mayClose && this.response.headersSent && !isFramed(this.response));
  }

  /**
   * Forwards one endpoint's stream until it ends. Calls `onFirst` before the first event is forwarded, which waits for what it returns, and
   * `fail` if this instance itself fails. Never rejects.
   */
  relay(
    received: EndpointResponse,
    onFirst: () => Promise<void> | undefined,
    fail: (error: unknown) => void,
  ): Promise<EndedResponse> {
    const { message } = received;
    this.lastId = this.lastEventId;
    this.splitter = EventSplitter.create(this.options.isResumable);
    const gate = ReadGate.create(message, this.response, { ...this.options, fail });
    const hold = EventHold.create(message, (bytes) => this.write(received, bytes));
    let isFirst = true;
    return new Promise((resolve) => {
      const receive = (bytes: Buffer): void => {
        forward(bytes);
        gate.record(bytes);
      };
      const forward = (bytes: Buffer): void => {
        const whole = this.splitter.add(bytes);
        if (whole.length === 0) return;
        const isContinued = isFirst && this.response.headersSent;
        if (isFirst) hold.start(onFirst(), fail);
        isFirst = false;
        this.endsWithoutId = this.splitter.endsWithoutId;
        hold.forward(isContinued ? removeByteOrderMark(whole) : whole);
      };
      message.on("data", containThrows(receive, fail));
      const finish = (): void => {
        const ended = readEndOrFail(received, fail, this.splitter.unfinishedBytes);
        void hold.released.then(() => resolve(ended));
      };
      message.on("end", finish);
      // After "end" this has no effect, because a promise settles only once.
      message.on("close", finish);
    });
  }

  /** Ends the response; what is left of the stream are comments at most. */
  finish(received: EndpointResponse): void {
    this.writeHead(received);
    this.response.end(this.splitter.takeRest());
  }

  private write(received: EndpointResponse, bytes: Buffer): void {
    // The request may have ended while its first event was held.
    if (this.response.writableEnded || this.response.destroyed) return;
    this.writeHead(received);
    this.response.write(bytes);
  }

  /** Writes the head with the first event, so that a stream interrupted before it can still get another response. */
  private writeHead({ message, framing }: EndpointResponse): void {
    if (this.response.headersSent) return;
    const headers = copyResponseHeaders(message.rawHeaders);
    writeResponseHead(this.response, message, { headers, framing, closes: this.options.isLeaving() });
  }
}
