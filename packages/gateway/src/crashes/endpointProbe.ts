/**
 * Probes whether an endpoint's address accepts connections.
 * @module
 */
import { connect, type Socket } from "node:net";
import { parseAddress } from "@gladewall/kernel";

/** Result of a connection attempt. */
export enum ProbeResult {
  /** The address accepts connections. */
  Listening = 1,
  /** The machine refuses the connection, so no process listens there. */
  Refused = 2,
  /** No response, or another error: the network may be interrupted. */
  Unknown = 3,
}

/** An attempt to connect, whose socket is to be destroyed. */
interface OpenedProbe {
  readonly socket: Socket;
  readonly result: ProbeResult;
}

const refusedCode = "ECONNREFUSED";

/** Opens one connection and closes it again. The promise never rejects. */
export async function probeEndpoint(address: string, timeoutMs: number): Promise<ProbeResult> {
  const { socket, result } = await openProbe(address, timeoutMs);
  socket.destroy();
  return result;
}

/**
 * As `probeEndpoint`, but holds the connection for a while: for a process that is being killed, its kernel may still accept one, and closes it a
 * moment later. If it is closed, a second attempt decides. The promise never rejects.
 */
export async function probeRunning(address: string, timeoutMs: number, holdMs: number): Promise<ProbeResult> {
  const { socket, result } = await openProbe(address, timeoutMs);
  const isHeld = result === ProbeResult.Listening && (await holdOpen(socket, holdMs));
  socket.destroy();
  return isHeld || result !== ProbeResult.Listening ? result : probeEndpoint(address, timeoutMs);
}

function openProbe(address: string, timeoutMs: number): Promise<OpenedProbe> {
  return new Promise((resolve) => {
    const socket = connect(parseAddress(address));
    const finish = (result: ProbeResult): void => {
      socket.setTimeout(0);
      resolve({ socket, result });
    };
    socket.setTimeout(timeoutMs, () => finish(ProbeResult.Unknown));
    socket.once("connect", () => finish(ProbeResult.Listening));
    socket.on("error", ({ code }: NodeJS.ErrnoException) =>
      finish(code === refusedCode ? ProbeResult.Refused : ProbeResult.Unknown),
    );
  });
}

/** Resolves with whether a connection stays open for a time, and is not found to have ended in the reads that follow it. */
function holdOpen(socket: Socket, ms: number): Promise<boolean> {
  return new Promise((resolve) => {
    const timer = setTimeout(() => setImmediate(() => resolve(true)), ms);
    socket.once("close", () => {
      clearTimeout(timer);
      resolve(false);
    });
    socket.resume();
  });
}
