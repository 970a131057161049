/**
 * What a caller can know of the end of a response: from its frame, or, if it has none, from the end of its connection.
 * @module
 */
import { Agent, type ClientRequestArgs, type IncomingMessage } from "node:http";
import { connect, type Socket } from "node:net";

/** How a response ended, as its caller sees it. */
export enum CallerEnd {
  /** There was no response. */
  None = 0,
  /** Its length or its last chunk was received. */
  Framed = 1,
  /** It had neither length nor chunks, and its connection was closed in order. */
  Closed = 2,
  /** It ended before its frame did, or its connection was reset. */
  Broken = 3,
}

const resetSockets = new WeakSet<Socket>();

/** Connections of callers that are kept for further requests, and whose ends are recorded. */
export class CallerAgent extends Agent {
  override createConnection(options: ClientRequestArgs): Socket {
    return connectAndTrackEnd(options);
  }
}

/** Connects to a server; what `readCallerEnd` needs to know of the connection's end is recorded, before Node.js closes it. */
export function connectAndTrackEnd({ host, port }: ClientRequestArgs): Socket {
  const socket = connect({ host: host ?? "", port: Number(port) });
  socket.on("error", () => resetSockets.add(socket));
  socket.on("end", () => {
    // A reset that arrives together with data is reported as an end; the connection has no peer any more then.
    if (socket.remoteAddress === undefined) resetSockets.add(socket);
  });
  return socket;
}

/** Whether a tracked connection was reset. */
export function isReset(socket: Socket): boolean {
  return resetSockets.has(socket);
}

/** Returns how a response ended that has been read over a tracked connection. */
export function readCallerEnd({ complete, headers, socket }: IncomingMessage): CallerEnd {
  if (!complete || isReset(socket)) return CallerEnd.Broken;
  const isFramed = headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined;
  if (isFramed || isTakenAway(socket)) return CallerEnd.Framed;
  // A caller that has closed the connection itself has not seen the end.
  return socket.readableEnded ? CallerEnd.Closed : CallerEnd.Broken;
}

/** Whether a response without a body has given its connection back already. */
function isTakenAway(socket: Socket | null): boolean {
  return socket === null;
}
