/**
 * Reads the body of an endpoint's response: holds it until it is complete, or, if it is too long for that, forwards it as it comes, no
 * faster than the caller takes it. So a body of any length takes a bounded part of the memory.
 * @module
 */
import type { ServerResponse } from "node:http";
import type { Clock } from "@gladewall/kernel";
import { containThrows } from "../failures/containedFailures.js";
import { type EndedResponse, type EndpointResponse, readEndOrFail } from "../responses/responseEnd.js";
import { BodyBuffer } from "./bodyBuffer.js";
import type { HeldBytes, HeldShare } from "./heldBytes.js";
import type { LinkPace } from "./linkPace.js";
import { getPartCost, ReadGate } from "./readGate.js";
import { pauseReading, resumeReading } from "./readPause.js";

/** Options of a reader. */
export interface BodyReaderOptions {
  /** The bytes of all responses that are held. */
  readonly held: HeldBytes;
  readonly clock: Clock;
  readonly pace: LinkPace;
  /** Ends the request after a failure of this instance itself. */
  readonly fail: (error: unknown) => void;
}

/** What was received of a body before anything of it was forwarded. */
export interface HeldBody {
  readonly bytes: Buffer;
  /** How the body ended; undefined if it goes on. */
  readonly ended: EndedResponse | undefined;
}

/** A longer body is forwarded before it is complete. */
const maxHeldBodyBytes = 1_048_576;
/** Bytes that may wait for a slow caller, so that the endpoint is done before the caller is. */
const maxBacklogBytes = 1_048_576;

/** Reads one body. */
export class BodyReader {
  /** Bytes of the body that have been received. */
  receivedBytes = 0;
  private readonly body: BodyBuffer;
  private readonly share: HeldShare;
  private heldCost = 0;
  private gate: ReadGate | undefined;
  private stopHolding: () => void = () => undefined;

  private constructor(
    private readonly response: EndpointResponse,
    private readonly options: BodyReaderOptions,
  ) {
    const announced = Number(response.message.headers["content-length"] ?? 0);
    this.body = BodyBuffer.create(Math.min(announced, maxHeldBodyBytes));
    this.share = options.held.open(() => this.stopHolding());
  }

  static create(response: EndpointResponse, options: BodyReaderOptions): BodyReader {
    return new BodyReader(response, options);
  }

  /** Resolves when the body has ended, complete or not, or is not held any longer. Never rejects. */
  readHeld(): Promise<HeldBody> {
    const { message } = this.response;
    const { fail } = this.options;
    return new Promise((resolve) => {
      const settle = (ended: EndedResponse | undefined): void => {
        message.off("data", receive);
        message.off("end", finish);
        message.off("close", finish);
        resolve({ bytes: this.body.take(), ended });
      };
      const receive = containThrows((part: Buffer) => this.hold(part), fail);
      const finish = (): void => settle(readEndOrFail(this.response, fail));
      this.stopHolding = () => {
        pauseReading(message);
        settle(undefined);
      };
      message.on("data", receive);
      message.on("end", finish);
      message.on("close", finish);
    });
  }

  /** Forwards the rest as it comes. Resolves when the body has ended, complete or not, or its caller is gone. Never rejects. */
  forwardTo(caller: ServerResponse, begin: Buffer): Promise<EndedResponse> {
    const { message } = this.response;
    const { fail, clock, pace } = this.options;
    const mayWait = (bytes: number): boolean => this.share.set(bytes) && bytes <= maxBacklogBytes;
    const gate = ReadGate.create(message, caller, { clock, pace, mayWait, fail });
    this.gate = gate;
    return new Promise((resolve) => {
      const forward = (part: Buffer): void => {
        caller.write(part);
        gate.record(part);
      };
      const receive = (part: Buffer): void => {
        this.receivedBytes += part.length;
        forward(part);
      };
      const finish = (): void => resolve(readEndOrFail(this.response, fail));
      message.on("data", containThrows(receive, fail));
      message.on("end", finish);
      message.on("close", finish);
      resumeReading(message);
      if (message.destroyed) finish();
      else containThrows(forward, fail)(begin);
    });
  }

  /** Whether the caller, and not the endpoint, has delayed the body since the last call. */
  takeWaited(): boolean {
    return this.gate?.takeWaited() ?? false;
  }

  /** Ends the count of what is held: now, or once a caller has taken it or is gone. */
  close(caller?: ServerResponse): void {
    const closeShare = containThrows(() => this.share.close(), this.options.fail);
    if (caller && !caller.closed) caller.once("close", closeShare);
    else closeShare();
  }

  private hold(part: Buffer): void {
    this.receivedBytes += part.length;
    this.body.add(part);
    this.share.set(this.body.length);
    this.heldCost += getPartCost(part.length);
    if (this.heldCost > maxHeldBodyBytes) this.share.giveWay();
  }
}
