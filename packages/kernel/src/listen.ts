/**
 * Helpers for servers and clients that take an address `host:port` from the settings.
 * @module
 */
import type { AddressInfo, Server } from "node:net";

/** Splits `host:port`; removes the brackets of an IPv6 address. */
export function parseAddress(address: string): { readonly host: string; readonly port: number } {
  const colon = address.lastIndexOf(":");
  return { host: address.slice(0, colon).replace(/^\[|\]$/g, ""), port: Number(address.slice(colon + 1)) };
}

/** Makes a server listen on an address; rejects if the address is not available. */
export function listen(server: Server, address: string): Promise<void> {
  const { host, port } = parseAddress(address);
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, () => {
      server.off("error", reject);
      resolve();
    });
  });
}

/** Returns the `host:port` on which a server listens. */
export function getListenAddress(server: Server): string {
  const { address, port, family } = server.address() as AddressInfo;
  return family === "IPv6" ? `[${address}]:${port}` : `${address}:${port}`;
}
