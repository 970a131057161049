/**
 * Forwards a stream of events to the caller as they arrive, complete events only. If an endpoint's stream is interrupted,
 * the stream of another endpoint continues in the same response.
 * @module
 */
import type { ServerResponse } from "node:http";
import { containThrows } from "../failures/containedFailures.js";
import { ReadGate, type ReadGateOptions } from "../bodies/readGate.js";
import { type EventBytes, EventHold } from "./eventHold.js";
import { EventSplitter, removeByteOrderMark } from "./eventSplitter.js";
import { OpenComment } from "./openComment.js";
import {
  ConnectionEnd,
  type EndedResponse,
  type EndpointResponse,
  getConsequence,
  readEndOrFail,
  ResponseEnd,
} from "./responseEnd.js";
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

/** Returns the end of a stream that doesn't continue where it was to: for its caller it is as good as broken off. */
function createBackwardEnd({ framing }: EndpointResponse): EndedResponse {
  return { end: ResponseEnd.Interrupted, framing, connection: ConnectionEnd.Open, unfinishedBytes: 0 };
}

/** Options of a relay. */
export interface StreamRelayOptions extends Pick<ReadGateOptions, "clock" | "pace"> {
  readonly isResumable: boolean;
  /** Id of the event after which the caller takes the stream up; undefined if it begins. */
  readonly resumesAfter: string | undefined;
  /** Whether the instance is leaving, so that the response should close its connection. */
  readonly isLeaving: () => boolean;
}

/** The streamed response of one request, over all attempts. */
export class StreamRelay {
  private splitter: EventSplitter;
  private lastId: string | undefined;
  private endsWithoutId = false;
  private isConfirming = false;
  /** What shows that the stream goes on if its end is that of the connection. */
  private readonly comment = OpenComment.create();

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

  /** Whether the last endpoint did not continue after the event that it was asked to continue after. */
  get hasGoneBack(): boolean {
    return this.splitter.hasGoneBack;
  }

  /** Whether another endpoint can continue after the last event that was forwarded, without a gap and without repeating one. */
  canContinue(): boolean {
    const isAfterEvent = !this.endsWithoutId && !this.splitter.hasReturnedPart;
    return this.options.isResumable && isAfterEvent && isHeaderValue(this.lastEventId ?? "");
  }

  /**
   * Whether the response may end now, given how the last endpoint's stream ended. If that is not certain, another endpoint is asked where
   * one can continue; two that end after the same event confirm each other.
   */
  canFinish(ended: EndedResponse): boolean {
    const { isComplete, mayClose } = getConsequence(ended);
    return isComplete || (mayClose && this.canClose() && (this.isUnconfirmed || !this.canContinue()));
  }

  /**
   * Whether the response may be closed without saying that it is complete. A stream of which nothing has been forwarded may not: the caller
   * would take it for an empty one.
   */
  private canClose(): boolean {
    return this.response.headersSent && !isFramed(this.response);
  }

  /** Notes that another endpoint is asked whether the stream goes on after the last event, after which the last endpoint's stream ended. */
  beginConfirmation(ended: EndedResponse): void {
    // An unverified end is not inside an event, so that these are comments.
    const rest = this.splitter.takeRest();
    if (rest.length > 0 && this.response.headersSent) this.send({ bytes: rest, endsInside: false });
    const mayClose = this.isUnconfirmed || getConsequence(ended).mayClose;
    this.beginStream();
    this.isConfirming = mayClose && this.canClose();
  }

  private beginStream(): void {
    this.isConfirming = this.isUnconfirmed;
    this.lastId = this.lastEventId;
    this.splitter = EventSplitter.create(this.options.isResumable, this.lastId ?? this.options.resumesAfter);
  }

  /** Whether another endpoint was asked whether the stream goes on, and has brought nothing yet. */
  get isUnconfirmed(): boolean {
    return this.isConfirming && !this.splitter.hasBegunEvent;
  }

  /** Closes the response if nobody has said that the stream goes on; returns whether it did. */
  tryClose(): boolean {
    const { isUnconfirmed } = this;
    if (isUnconfirmed) this.end(Buffer.alloc(0));
    return isUnconfirmed;
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
    this.beginStream();
    const gate = ReadGate.create(message, this.response, { ...this.options, fail });
    const hold = EventHold.create(message, (events) => this.write(received, events));
    let isFirst = true;
    return new Promise((resolve) => {
      // Only the first call has an effect, because a promise settles once.
      const end = (ended: EndedResponse): void => void hold.released.then(() => resolve(ended));
      const receive = (bytes: Buffer): void => {
        if (this.splitter.hasGoneBack) return;
        forward(bytes);
        if (this.splitter.hasGoneBack) end(createBackwardEnd(received));
        else gate.record(bytes);
      };
      const forward = (bytes: Buffer): void => {
        const whole = this.splitter.add(bytes);
        if (whole.length === 0) return;
        const isContinued = isFirst && this.response.headersSent;
        if (isFirst) hold.start(onFirst(), fail);
        isFirst = false;
        this.endsWithoutId = this.splitter.endsWithoutId;
        const forwarded = isContinued ? removeByteOrderMark(whole) : whole;
        hold.forward({ bytes: forwarded, endsInside: this.splitter.hasReturnedPart });
      };
      message.on("data", containThrows(receive, fail));
      const finish = (): void => end(readEndOrFail(received, fail, this.splitter.unfinishedBytes));
      message.on("end", finish);
      message.on("close", finish);
    });
  }

  /** Ends the response; what is left of the stream are comments at most. */
  finish(received: EndpointResponse): void {
    this.writeHead(received);
    this.end(this.splitter.takeRest());
  }

  private end(rest: Buffer): void {
    this.response.end(this.comment.finish(rest));
  }

  private write(received: EndpointResponse, events: EventBytes): void {
    // The request may have ended while its first event was held.
    if (this.response.writableEnded || this.response.destroyed) return;
    this.writeHead(received);
    this.send(events);
  }

  private send({ bytes, endsInside }: EventBytes): void {
    this.response.write(isFramed(this.response) ? bytes : this.comment.wrap(bytes, endsInside));
  }

  /** Writes the head with the first event, so that a stream interrupted before it can still get another response. */
  private writeHead({ message, framing }: EndpointResponse): void {
    if (this.response.headersSent) return;
    const headers = copyResponseHeaders(message.rawHeaders);
    writeResponseHead(this.response, message, { headers, framing, closes: this.options.isLeaving() });
  }
}
