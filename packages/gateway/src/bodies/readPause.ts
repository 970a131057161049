/**
 * Pauses and resumes the reading of a message together with its connection.
 *
 * A paused message alone lets its parser go on until it has buffered its usual number of bytes, which in chunks of one byte is 16,000
 * buffers that take some hundred times as much memory.
 * @module
 */
import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";

/** Connections that are not read, with the message that is being received over each. */
const pausedMessages = new WeakMap<Socket, IncomingMessage>();

/**
 * Pauses the connection of a message only. The message passes on what its connection has already read, so that a reader which copies parts
 * leaves no buffers of the parser.
 */
export function pauseConnection(message: IncomingMessage): void {
  const socket = getSocket(message);
  if (!socket) return;
  if (!pausedMessages.has(socket)) socket.on("resume", pauseAgain);
  pausedMessages.set(socket, message);
  socket.pause();
}

/** Resumes the connection of a message. */
export function resumeConnection(message: IncomingMessage): void {
  const socket = getSocket(message);
  if (!socket) return;
  forget(socket);
  socket.resume();
}

/** Pauses the reading of a message and of its connection. */
export function pauseReading(message: IncomingMessage): void {
  message.pause();
  pauseConnection(message);
}

/** Resumes the reading of a message and of its connection. */
export function resumeReading(message: IncomingMessage): void {
  message.resume();
  resumeConnection(message);
}

/** Pauses a connection that its message has resumed, as one that flows does; after the message it may be another one's. */
function pauseAgain(this: Socket): void {
  if (pausedMessages.get(this)?.complete === false) this.pause();
  else forget(this);
}

function forget(socket: Socket): void {
  pausedMessages.delete(socket);
  socket.off("resume", pauseAgain);
}

/** Returns the connection of a message; undefined once all of the message has been received, and the connection may be another one's. */
function getSocket({ complete, socket }: IncomingMessage): Socket | undefined {
  const owner: Socket | null = socket;
  return complete ? undefined : (owner ?? undefined);
}
