/**
 * Opens connections that are read in small parts until their bytes have come fast for a while and nobody has paused them.
 *
 * The parser hands out all parts of a read before anything can pause it. In chunks of one byte a read of the usual 64 KiB is some 11,000
 * parts, which take 15 ms.
 * @module
 */
import { connect, type Socket, type TcpNetConnectOpts } from "node:net";

/** Where all connections are read to, one after the other; what was read is copied at once. */
const smallBuffer = Buffer.allocUnsafeSlow(8_192);
const largeBuffer = Buffer.allocUnsafeSlow(65_536);
/** Reads in a row that filled their buffer, after which the larger one is used: a body in small chunks is paused sooner. */
const minFullReads = 8;

/** Opens a connection. */
export function openConnection(options: TcpNetConnectOpts): Socket {
  let fullReads = 0;
  const getBuffer = (): Buffer => (fullReads >= minFullReads ? largeBuffer : smallBuffer);
  const handleRead = (length: number, buffer: Uint8Array): boolean => {
    fullReads = length === buffer.length ? fullReads + 1 : 0;
    return socket.push(Buffer.from(buffer.subarray(0, length)));
  };
  const socket = connect({ ...options, onread: { buffer: getBuffer, callback: handleRead } });
  socket.on("pause", () => (fullReads = 0));
  return socket;
}
