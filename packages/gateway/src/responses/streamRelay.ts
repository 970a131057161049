/**
 * Forwards a stream of events to the caller as they arrive, complete events only. If an endpoint's stream is interrupted,
 * the stream of another endpoint continues in the same response.
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { isCompleteResponse } from "./responseBody.js";
import { copyResponseHeaders } from "./responseHeaders.js";
import { EventSplitter, removeByteOrderMark } from "./eventSplitter.js";

/** How an endpoint's stream ended. */
export enum RelayOutcome {
  Complete = 1,
  Interrupted = 2,
}

const firstRedirectStatus = 300;
const eventStreamPattern = /^\s*text\/event-stream\s*(?:;|$)/i;

/** Whether a response is a stream of events: it is a success, and states no other type. */
export function isEventStream({ statusCode = 0, headers }: IncomingMessage): boolean {
  const isSuccess = statusCode < firstRedirectStatus;
  return isSuccess && eventStreamPattern.test(headers["content-type"] ?? "text/event-stream");
}

/** The streamed response of one request, over all attempts. */
export class StreamRelay {
  private splitter: EventSplitter;
  private lastId: string | undefined;
  private endsWithoutId = false;

  private constructor(
    private readonly response: ServerResponse,
    private readonly isResumable: boolean,
    private readonly isLeaving: () => boolean,
  ) {
    this.splitter = EventSplitter.create(isResumable);
  }

  static create(response: ServerResponse, isResumable: boolean, isLeaving: () => boolean): StreamRelay {
    return new StreamRelay(response, isResumable, isLeaving);
  }

  /** Id of the last event that was forwarded; undefined before the first. */
  get lastEventId(): string | undefined {
    return this.splitter.lastEventId ?? this.lastId;
  }

  /** Whether another endpoint can continue after the last event that was forwarded, without a gap and without repeating one. */
  canContinue(): boolean {
    return this.isResumable && !this.endsWithoutId;
  }

  /** Forwards one endpoint's stream until it ends. Calls `onFirst` before the first event is forwarded. Never rejects. */
  relay(endpointResponse: IncomingMessage, onFirst: () => void): Promise<RelayOutcome> {
    this.lastId = this.lastEventId;
    this.splitter = EventSplitter.create(this.isResumable);
    let isFirst = true;
    return new Promise((resolve) => {
      endpointResponse.on("data", (bytes: Buffer) => {
        const whole = this.splitter.add(bytes);
        if (whole.length === 0) return;
        const isContinued = isFirst && this.response.headersSent;
        if (isFirst) onFirst();
        isFirst = false;
        this.endsWithoutId = this.splitter.endsWithoutId;
        this.write(endpointResponse, isContinued ? removeByteOrderMark(whole) : whole);
      });
      endpointResponse.on("end", () => {
        // A stream that ends inside an event was broken off, whatever its frame says.
        const isInsideEvent = this.splitter.unfinishedBytes > 0;
        if (isInsideEvent || !isCompleteResponse(endpointResponse)) return resolve(RelayOutcome.Interrupted);
        this.finish(endpointResponse);
        resolve(RelayOutcome.Complete);
      });
      // After "end" this has no effect, because a promise settles only once.
      endpointResponse.on("close", () => resolve(RelayOutcome.Interrupted));
    });
  }

  private write(endpointResponse: IncomingMessage, bytes: Buffer): void {
    this.writeHead(endpointResponse);
    if (this.response.write(bytes)) return;
    endpointResponse.pause();
    this.response.once("drain", () => endpointResponse.resume());
  }

  private finish(endpointResponse: IncomingMessage): void {
    this.writeHead(endpointResponse);
    this.response.end(this.splitter.takeRest());
  }

  /** Writes the head with the first event, so that a stream interrupted before it can still get another response. */
  private writeHead(endpointResponse: IncomingMessage): void {
    if (this.response.headersSent) return;
    const headers = copyResponseHeaders(endpointResponse.rawHeaders);
    if (this.isLeaving()) headers.push("Connection", "close");
    this.response.writeHead(endpointResponse.statusCode ?? 0, endpointResponse.statusMessage, headers);
  }
}
