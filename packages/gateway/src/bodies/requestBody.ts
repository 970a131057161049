/**
 * Reads the complete body of a request, up to the configured size. Bodies of all requests together take a bounded part of the memory:
 * the next one is read once there is room for it.
 * @module
 */
import type { IncomingMessage } from "node:http";
import { type Clock, Failure, FailureCode, waitFor } from "@gladewall/kernel";
import { Err, Ok, type Result } from "ts-results-es";
import { BodyBuffer } from "./bodyBuffer.js";
import { containThrows } from "../failures/containedFailures.js";
import type { HeldBytes, HeldShare } from "./heldBytes.js";
import { pauseConnection, resumeConnection } from "./readPause.js";

/** Bounds of a body. */
export interface RequestBodyBounds {
  /** Bytes of one body. */
  readonly limit: number;
  /** The bytes of all requests' bodies that are held. */
  readonly held: HeldBytes;
  readonly clock: Clock;
  /** Milliseconds for which the body may wait for room. */
  readonly waitMs: number;
}

/** A body, which counts as held until it is released. */
export interface RequestBody {
  readonly bytes: Buffer;
  readonly release: () => void;
}

/** A body is read up to this size without waiting for room. */
const smallBodyBytes = 65_536;
/** Time after which a request may come back whose body had no room. */
const noRoomRetryMs = 300;

/** Resolves with the body. Fails with `BodyTooLarge`, with `NoRoomForBody`, or with `CallerGone` if the caller aborted. */
export async function readRequestBody(
  message: IncomingMessage,
  { limit, held, clock, waitMs }: RequestBodyBounds,
): Promise<Result<RequestBody, Failure>> {
  const { "content-length": length } = message.headers;
  const announced = length === undefined ? undefined : Number(length);
  if (announced !== undefined && announced > limit) return Err(createTooLarge(limit));
  const share = held.open();
  const body = BodyBuffer.create(announced);
  const gone = new Promise<void>((resolve) => message.once("close", resolve));
  const wait = { gone, clock, waitMs };
  const hasRoom = announced === undefined || (await tryReserve(share, announced, wait));
  const isComplete = hasRoom
    ? await receive(message, body, share, { limit, wait, isAnnounced: announced !== undefined })
    : Err(createNoRoom(waitMs));
  if (isComplete.isOk()) {
    // A body in chunks had room for the longest one.
    share.shrink(body.capacity);
    return Ok({ bytes: body.take(), release: () => share.close() });
  }
  share.close();
  // What is left of a refused body is read by whoever refuses it.
  resumeConnection(message);
  return isComplete;
}

/** How long a body waits for room. */
interface RoomWait extends Pick<RequestBodyBounds, "clock" | "waitMs"> {
  /** Resolves when nothing more is received. */
  readonly gone: Promise<void>;
}

interface ReceiveOptions {
  readonly limit: number;
  readonly wait: RoomWait;
  readonly isAnnounced: boolean;
}

function receive(
  message: IncomingMessage,
  body: BodyBuffer,
  share: HeldShare,
  { limit, wait, isAnnounced }: ReceiveOptions,
): Promise<Result<void, Failure>> {
  return new Promise((resolve, reject) => {
    const refuse = (failure: Failure): void => {
      // What is left of the body is read, and no longer counts as held.
      message.off("data", handlePart);
      resolve(Err(failure));
    };
    const fail = (): void => resolve(Err(Failure.create(FailureCode.CallerGone)));
    let isReserved = isAnnounced;
    const add = (part: Buffer): void => {
      if (body.length + part.length > limit) return refuse(createTooLarge(limit));
      body.add(part);
      if (isReserved || body.length <= smallBodyBytes) return;
      // Nothing tells how long it will be.
      isReserved = true;
      pauseConnection(message);
      void tryReserve(share, limit, wait).then((hasRoom) => {
        if (hasRoom) resumeConnection(message);
        else refuse(createNoRoom(wait.waitMs));
      }, reject);
    };
    const handlePart = containThrows(add, reject);
    if (message.destroyed) return fail();
    message.on("data", handlePart);
    message.on("end", () => resolve(Ok(undefined)));
    message.on("error", fail);
    message.on("close", fail);
  });
}

/** Resolves once there is room for a body, or nothing more of it is received; false if there was none in time. */
async function tryReserve(
  share: HeldShare,
  bytes: number,
  { gone, clock, waitMs }: RoomWait,
): Promise<boolean> {
  if (bytes <= smallBodyBytes) {
    share.set(bytes);
    return true;
  }
  const ended = new AbortController();
  const late = waitFor(clock, waitMs, ended.signal).then(() => false);
  const reserved = share.reserve(bytes).then(() => true);
  const left = gone.then(() => true);
  return Promise.race([reserved, left, late]).finally(() => ended.abort());
}

function createNoRoom(limit: number): Failure {
  return Failure.create(FailureCode.NoRoomForBody, { limit: Math.round(limit) }, noRoomRetryMs);
}

function createTooLarge(limit: number): Failure {
  return Failure.create(FailureCode.BodyTooLarge, { limit });
}
