/**
 * Reads a request's body: whole up to a limit, or its head and the rest as a stream. A sender that stops sending is
 * given up after a time.
 * @module
 */
import type { IncomingMessage } from "node:http";
import { type Clock, Failure, FailureCode } from "@gladewall/kernel";
import { Err, Ok, type Result } from "ts-results-es";

/** Bounds of a body. */
export interface BodyLimits {
  /** Bytes that may be held in memory. */
  readonly maxHeldBytes: number;
  /** Bytes in all. */
  readonly maxTotalBytes: number;
  /** Milliseconds without a byte. */
  readonly idleTimeoutMs: number;
}

/** A body: its held head, and the rest where it is larger than what may be held. */
export interface RequestBody {
  readonly head: Uint8Array;
  readonly rest: AsyncIterable<Uint8Array> | undefined;
}

/** Thrown inside a streamed rest, where there is no other way to end it. */
export class BodyFailure extends Error {
  constructor(readonly failure: Failure) {
    super(failure.text);
  }
}

/** Reads a body. Fails with `BodyTooLarge`, `BodyTooSlow` or `BadRequest` where it was cut. */
export async function readBody(
  request: IncomingMessage,
  limits: BodyLimits,
  clock: Clock,
): Promise<Result<RequestBody, Failure>> {
  const declared = Number(request.headers["content-length"] ?? "0");
  if (declared > limits.maxTotalBytes)
    return Err(Failure.create(FailureCode.BodyTooLarge, { limit: limits.maxTotalBytes }));
  const source = readChunks(request, limits, clock);
  const chunks: Uint8Array[] = [];
  let size = 0;
  try {
    while (size <= limits.maxHeldBytes) {
      const next = await source.next();
      if (next.done) return Ok({ head: Buffer.concat(chunks), rest: undefined });
      chunks.push(next.value);
      size += next.value.length;
    }
  } catch (error) {
    if (error instanceof BodyFailure) return Err(error.failure);
    throw error;
  }
  return Ok({ head: Buffer.concat(chunks), rest: source });
}

async function* readChunks(
  request: IncomingMessage,
  limits: BodyLimits,
  clock: Clock,
): AsyncGenerator<Uint8Array> {
  const iterator = request[Symbol.asyncIterator]() as AsyncIterator<Uint8Array>;
  let size = 0;
  while (true) {
    const next = await readWithTimeout(iterator, limits.idleTimeoutMs, clock);
    if (next.done) break;
    size += next.value.length;
    if (size > limits.maxTotalBytes)
      throw new BodyFailure(Failure.create(FailureCode.BodyTooLarge, { limit: limits.maxTotalBytes }));
    yield next.value;
  }
  if (!request.complete)
    throw new BodyFailure(Failure.create(FailureCode.BadRequest, { detail: "the body was cut short" }));
}

function readWithTimeout(
  iterator: AsyncIterator<Uint8Array>,
  idle: number,
  clock: Clock,
): Promise<IteratorResult<Uint8Array>> {
  return new Promise((resolve, reject) => {
    const timer = clock.startTimer(idle, () =>
      reject(new BodyFailure(Failure.create(FailureCode.BodyTooSlow, { limit: idle }))),
    );
    iterator.next().then(
      (value) => {
        timer.cancel();
        resolve(value);
      },
      () => {
        timer.cancel();
        reject(new BodyFailure(Failure.create(FailureCode.BadRequest, { detail: "the body was cut short" })));
      },
    );
  });
}
