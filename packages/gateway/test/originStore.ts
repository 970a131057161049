/**
 * The platform's store of the simulated fleet.
 * @module
 */
import type { MetadataStore, StoreItem, StoreListing } from "@gladewall/gateway";
import type { Failure } from "@gladewall/kernel";
import { Ok, type Result } from "ts-results-es";

type Transaction = Parameters<MetadataStore["transact"]>[0];

/** Items that reach all instances at once. */
export class SimulatedStore {
  private readonly values = new Map<string, Uint8Array>();

  private constructor(private readonly onChanged: (keys: readonly string[]) => void) {}

  /** Creates an empty store; `onChanged` is called with the keys that each transaction puts or removes. */
  static create(onChanged: (keys: readonly string[]) => void): SimulatedStore {
    return new SimulatedStore(onChanged);
  }

  get keys(): readonly string[] {
    return [...this.values.keys()];
  }

  getItem(key: string): StoreItem | undefined {
    const value = this.values.get(key);
    return value && { key, value, revision: 1 };
  }

  async transact({ put, remove }: Transaction): Promise<Result<{ era: number; revision: number }, Failure>> {
    for (const { key, value } of put) this.values.set(key, value);
    for (const key of remove) this.values.delete(key);
    this.onChanged([...put.map(({ key }) => key), ...remove]);
    return Ok({ era: 0, revision: 1 });
  }

  list(prefix: string): StoreListing {
    const items = [...this.values].filter(([key]) => key.startsWith(prefix));
    return {
      items: items.map(([key, value]) => ({ key, value, revision: 1 })),
      position: { era: 0, revision: 1 },
    };
  }
}
