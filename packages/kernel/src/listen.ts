/**
 * Helpers for servers and clients that take an address `host:port` from the settings.
 * @module
 */
import type { AddressInfo, Server } from "node:net";
import { Failure, FailureCode } from "./failures.js";

/** Splits `host:port`; removes the brackets of an IPv6 address. */
export function parseAddress(address: string): { readonly host: string; readonly port: number } {
  const colon = address.lastIndexOf(":");
  return { host: address.slice(0, colon).replace(/^\[|\]$/g, ""), port: Number(address.slice(colon + 1)) };
}

/** The address of a server is not available. */
export class ListenError extends Error {
  private constructor(readonly failure: Failure) {
    super(failure.text);
  }

  static create(address: string, { code, message }: NodeJS.ErrnoException): ListenError {
    const cause = causesByCode[code ?? ""] ?? message;
    return new ListenError(Failure.create(FailureCode.AddressUnavailable, { address, cause }));
  }
}

const causesByCode: Readonly<Record<string, string>> = {
  EADDRINUSE: "the address is taken by another process",
  EADDRNOTAVAIL: "the address does not belong to this machine",
  EACCES: "the port needs a permission that this process does not have",
};

/** Makes a server listen on an address; rejects with a `ListenError` if the address is not available. */
export function listen(server: Server, address: string): Promise<void> {
  const { host, port } = parseAddress(address);
  return new Promise((resolve, reject) => {
    const handleError = (error: NodeJS.ErrnoException): void => reject(ListenError.create(address, error));
    server.once("error", handleError);
    server.listen(port, host, () => {
      server.off("error", handleError);
      resolve();
    });
  });
}

/** Returns the `host:port` on which a server listens. */
export function getListenAddress(server: Server): string {
  const { address, port, family } = server.address() as AddressInfo;
  return family === "IPv6" ? `[${address}]:${port}` : `${address}:${port}`;
}
