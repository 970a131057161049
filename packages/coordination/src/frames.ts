/**
 * Encodes and decodes the frames that entries exchange: four bytes of length (big-endian), then one CBOR value.
 * @module
 */
import { Failure, FailureCode } from "@gladewall/kernel";
import { Decoder, Encoder } from "cbor-x/encode";
import { Err, Ok, type Result } from "ts-results-es";

const headerBytes = 4;

/** Maximum size of a frame's body that is sent or accepted, in bytes. */
export const maxFrameBytes = 17_825_792;

// Encodes plain maps instead of cbor-x's records, because each frame must be decodable without the previous ones.
const encoder = new Encoder({ useRecords: false, tagUint8Array: false });
const decoder = new Decoder({ useRecords: false, mapsAsObjects: true });

/** Encodes a message as one frame; fails with `FrameTooLarge`. */
export function encodeFrame(message: unknown): Result<Buffer, Failure> {
  const body = encoder.encode(message);
  if (body.length > maxFrameBytes) {
    return Err(Failure.create(FailureCode.FrameTooLarge, { size: body.length, limit: maxFrameBytes }));
  }
  const frame = Buffer.allocUnsafe(headerBytes + body.length);
  frame.writeUInt32BE(body.length, 0);
  body.copy(frame, headerBytes);
  return Ok(frame);
}

/** Decodes a byte stream into messages. */
export class FrameDecoder {
  private chunks: Buffer[] = [];
  private size = 0;

  private constructor(private limit: number) {}

  /** `limit`: maximum size of a frame's body, in bytes. */
  static create(limit = maxFrameBytes): FrameDecoder {
    return new FrameDecoder(limit);
  }

  /** Changes the maximum size for the frames that follow. */
  setLimit(limit: number): void {
    this.limit = limit;
  }

  /**
   * Appends bytes and returns the messages that are complete. Fails with `FrameTooLarge` or `FrameMalformed`,
   * after which the stream cannot be decoded any further.
   */
  push(bytes: Buffer): Result<unknown[], Failure> {
    this.chunks.push(bytes);
    this.size += bytes.length;
    const messages: unknown[] = [];
    while (this.size >= headerBytes) {
      const bodyLength = this.readBodyLength();
      if (bodyLength > this.limit)
        return Err(Failure.create(FailureCode.FrameTooLarge, { size: bodyLength, limit: this.limit }));
      if (this.size < headerBytes + bodyLength) break;
      const frame = this.takeFrame(headerBytes + bodyLength);
      const message = decodeBody(frame.subarray(headerBytes));
      if (message.isErr()) return message;
      messages.push(message.value);
    }
    return Ok(messages);
  }

  private readBodyLength(): number {
    const first = this.chunks[0];
    if (first && first.length >= headerBytes) return first.readUInt32BE(0);
    return this.join().readUInt32BE(0);
  }

  private takeFrame(length: number): Buffer {
    const first = this.chunks[0];
    const all = first && first.length >= length ? first : this.join();
    this.chunks[0] = all.subarray(length);
    if (this.chunks[0].length === 0) this.chunks.shift();
    this.size -= length;
    return all.subarray(0, length);
  }

  private join(): Buffer {
    const all = Buffer.concat(this.chunks);
    this.chunks = [all];
    return all;
  }
}

function decodeBody(body: Buffer): Result<unknown, Failure> {
  try {
    return Ok(decoder.decode(body));
  } catch (error) {
    const detail = error instanceof Error ? error.message : String(error);
    return Err(Failure.create(FailureCode.FrameMalformed, { detail }));
  }
}
