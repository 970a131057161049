/**
 * Decides when more of a body is read that is forwarded as it comes: reading pauses while its receiver is too far behind, and while long
 * bodies take too much of the instance's link.
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Clock } from "@gladewall/kernel";
import { containThrows } from "../failures/containedFailures.js";
import { BodyExtent, type LinkPace } from "./linkPace.js";
import { pauseReading, resumeReading } from "./readPause.js";

/** Options of a gate. */
export interface ReadGateOptions {
  readonly clock: Clock;
  readonly pace: LinkPace;
  /** Decides whether as many bytes as are given may wait for the receiver; those that the connection buffers if omitted. */
  readonly mayWait?: (backlogBytes: number) => boolean;
  /** Ends the request after a failure of this instance itself. */
  readonly fail: (error: unknown) => void;
}

/** Bytes of each body that are read without regard to the pace. */
const freeBytes = 1_048_576;
/** Bytes from which on a body without length shares the pace of those that have no end, so that it doesn't hold up shorter ones. */
const longBytes = 4_194_304;
/** Bytes that may always wait for a receiver. */
const minBacklogBytes = 65_536;
/** Length up to which a stated one is one that responses have. */
const maxStatedBytes = 67_108_864;
/** A shorter pause is left out, and made up for by the next one. */
const minPauseMs = 2;

/** Handling a part takes as long as reading so many bytes. */
const minPartBytes = 1_024;

/** Returns the bytes that a part of a body counts as: a body in chunks of one byte costs more than its size. */
export function getPartCost(partBytes: number): number {
  return Math.max(minPartBytes, partBytes);
}

/** Pauses and resumes the reading of one body. */
export class ReadGate {
  private readonly isStated: boolean;
  private readBytes = 0;
  /** What has been written since the receiver last had taken all. */
  private waitingBytes = 0;
  private isLong = false;
  private isBehind = false;
  private isPaced = false;
  private hasWaited = false;

  private constructor(
    private readonly message: IncomingMessage,
    private readonly receiver: ServerResponse,
    private readonly options: ReadGateOptions,
  ) {
    const { "content-length": length } = message.headers;
    this.isStated = length !== undefined && Number(length) <= maxStatedBytes;
  }

  static create(message: IncomingMessage, receiver: ServerResponse, options: ReadGateOptions): ReadGate {
    return new ReadGate(message, receiver, options);
  }

  /** Records a part of the body that has been read, and written to the receiver as far as it is forwarded. */
  record({ length }: Buffer): void {
    const bytes = getPartCost(length);
    this.readBytes += bytes;
    this.limitBacklog(bytes);
    const bytesBeyond = Math.min(bytes, this.readBytes - freeBytes);
    if (bytesBeyond <= 0) return;
    this.beginLong();
    this.limitPace(bytesBeyond);
  }

  /** Whether reading has been paused, not the sender slow, since the last call. */
  takeWaited(): boolean {
    const hasWaited = this.hasWaited || this.isBehind || this.isPaced;
    this.hasWaited = false;
    return hasWaited;
  }

  private limitBacklog(bytes: number): void {
    const { receiver, options } = this;
    this.waitingBytes = receiver.writableLength === 0 ? 0 : this.waitingBytes + bytes;
    const backlog = Math.max(receiver.writableLength, this.waitingBytes);
    const mayWait = options.mayWait?.(backlog) ?? false;
    // Without the need there would be no `drain`.
    if (mayWait || backlog <= minBacklogBytes || !receiver.writableNeedDrain || this.isBehind) return;
    this.isBehind = true;
    this.pause();
    const handleDrain = (): void => {
      this.isBehind = false;
      this.waitingBytes = 0;
      options.mayWait?.(0);
      this.resume();
    };
    receiver.once("drain", containThrows(handleDrain, options.fail));
  }

  private beginLong(): void {
    if (this.isLong) return;
    this.isLong = true;
    this.message.once("close", this.options.pace.beginBody());
  }

  private limitPace(bytes: number): void {
    const { pace, clock, fail } = this.options;
    const pauseMs = pace.take(this.getExtent(), bytes);
    if (pauseMs < minPauseMs || this.isPaced) return;
    this.isPaced = true;
    this.pause();
    const handlePause = (): void => {
      this.isPaced = false;
      this.resume();
    };
    clock.startTimer(pauseMs, containThrows(handlePause, fail));
  }

  private getExtent(): BodyExtent {
    if (this.isStated) return BodyExtent.Stated;
    return this.readBytes <= longBytes ? BodyExtent.Open : BodyExtent.Long;
  }

  private pause(): void {
    this.hasWaited = true;
    pauseReading(this.message);
  }

  private resume(): void {
    if (!this.isBehind && !this.isPaced) resumeReading(this.message);
  }
}
