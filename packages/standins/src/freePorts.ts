/**
 * Finds free loopback ports for processes that must know their ports before they listen. Test files that run
 * concurrently take them from separate blocks: the process that listens on the first port of a block owns the whole
 * block.
 * @module
 */
import { createServer, type Server } from "node:net";

/**
 * The blocks are below the system's ephemeral ports, because a connection could take such a port between its choice and
 * its use.
 */
const lowestPort = 12_000;
const blockPorts = 100;
const blockCount = 180;

/** Allocates ports from blocks that no other process owns. */
export class PortBlockAllocator {
  /** Server that listens on the first port of the current block. */
  private holder: Server | undefined;
  private nextPort = 0;

  private constructor(private nextBlock: number) {}

  /** Starts the search for a free block at `firstBlock`, which can be any number. */
  static create(firstBlock: number): PortBlockAllocator {
    return new PortBlockAllocator(firstBlock % blockCount);
  }

  /** Returns free loopback addresses (`host:port`) that no other allocator returns. */
  async findFreeAddresses(count: number): Promise<readonly string[]> {
    const addresses: string[] = [];
    while (addresses.length < count) {
      if (this.holder === undefined || this.nextPort % blockPorts === 0) await this.takeBlock();
      const port = this.nextPort++;
      if (await isFree(port)) addresses.push(`127.0.0.1:${port}`);
    }
    return addresses;
  }

  /** Takes the next free block. A used-up block stays owned, because processes may listen on its ports later. */
  private async takeBlock(): Promise<void> {
    for (let tried = 0; tried < blockCount; tried++) {
      const firstPort = lowestPort + this.nextBlock * blockPorts;
      this.nextBlock = (this.nextBlock + 1) % blockCount;
      const holder = await listenAt(firstPort);
      if (!holder) continue;
      // The block stays owned until the process exits; `unref` lets the process exit.
      this.holder = holder.unref();
      this.nextPort = firstPort + 1;
      return;
    }
    throw new Error("no free block of ports");
  }
}

const ownBlocks = PortBlockAllocator.create(process.pid);

/** Returns free loopback addresses (`host:port`) that no other process gets from this function. */
export function findFreeAddresses(count: number): Promise<readonly string[]> {
  return ownBlocks.findFreeAddresses(count);
}

async function isFree(port: number): Promise<boolean> {
  const server = await listenAt(port);
  if (!server) return false;
  await new Promise((resolve) => server.close(resolve));
  return true;
}

/** Returns a server that listens on a port; undefined if the port is in use. */
function listenAt(port: number): Promise<Server | undefined> {
  const server = createServer();
  return new Promise((resolve) => {
    server.once("error", () => resolve(undefined));
    server.listen(port, "127.0.0.1", () => resolve(server));
  });
}
