/**
 * Responses of endpoints as raw bytes: in every framing that HTTP/1.1 has, whole or broken off at any byte.
 * @module
 */
import type { ServerResponse } from "node:http";
import type { EndpointRequest } from "./scriptedEndpoint.js";

/** How the end of a response's body is marked. */
export enum RawFraming {
  Length = 1,
  Chunked = 2,
  /** Neither length nor chunks: the body ends with its connection. */
  Unframed = 3,
}

/** How a response ends after its last byte. */
export enum RawEnd {
  /** Its frame is closed, as at the end of a whole response, and the connection is closed in order. */
  FrameClosed = 1,
  /** The connection is closed in order, whatever the frame says; so the kernel closes it when a process is killed. */
  Closed = 2,
  /** The connection is reset. */
  Reset = 3,
}

/** A response to send. */
export interface RawResponse {
  readonly framing: RawFraming;
  /** The whole body. */
  readonly body: string;
  /** Bytes of the body that are sent; all of them if omitted. */
  readonly sentBytes?: number;
  /** `FrameClosed` if omitted. */
  readonly end?: RawEnd;
  readonly contentType?: string;
  /** Whether the head leaves out that the connection closes, which it does all the same. */
  readonly hidesClose?: boolean;
}

const frameHeaders: Readonly<Record<RawFraming, (length: number) => string>> = {
  [RawFraming.Length]: (length) => `Content-Length: ${length}\r\n`,
  [RawFraming.Chunked]: () => "Transfer-Encoding: chunked\r\n",
  [RawFraming.Unframed]: () => "",
};

/** Lets a response of Node.js end with its connection, without length or chunks; to be called before its head is written. */
export function removeFrame(response: ServerResponse): void {
  response.useChunkedEncodingByDefault = false;
  response.setHeader("connection", "close");
}

/** Sends a response in two writes, and ends it as it states. */
export function respondRaw({ id, socket }: EndpointRequest, response: RawResponse): void {
  const { framing, body, sentBytes, end = RawEnd.FrameClosed, contentType = "text/event-stream" } = response;
  const bytes = Buffer.from(body);
  const sent = bytes.subarray(0, sentBytes);
  const length = end === RawEnd.FrameClosed ? sent.length : bytes.length;
  const head = `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-stamp: signed\r\nContent-Type: ${contentType}\r\n`;
  const close = response.hidesClose ? "" : "Connection: close\r\n";
  socket.write(`${head}${frameHeaders[framing](length)}${close}\r\n`);
  const isChunked = framing === RawFraming.Chunked;
  if (isChunked && sent.length > 0) socket.write(`${sent.length.toString(16)}\r\n`);
  const last = isChunked && end === RawEnd.FrameClosed ? "0\r\n\r\n" : "";
  const text = Buffer.concat([
    sent,
    Buffer.from(isChunked && sent.length > 0 ? "\r\n" : ""),
    Buffer.from(last),
  ]);
  if (end === RawEnd.Reset) socket.write(text, () => socket.resetAndDestroy());
  else socket.end(text);
}
