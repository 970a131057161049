/**
 * Acquires leases on names, with fencing tokens that increase even when the store is restored from a snapshot.
 *
 * The token is the revision at which the lease was acquired, as in earlier builds, plus an offset. A restored store assigns
 * revisions again, so the offset grows with each era by more revisions than can be lost. The offset is stored together with
 * the era from which it applies. An instance that acquires a lease in a later era continues from the stored one, so that the
 * loss of a stored offset leads to the same value.
 * @module
 */
import type { GrantedLease, LeaseService } from "@gladewall/coordination";
import { type Failure, FailureCode, type Logger } from "@gladewall/kernel";
import { Ok, type Result } from "ts-results-es";
import * as v from "valibot";
import { decodeItem } from "../store/itemCodec.js";
import { isReportedEra, initialEra } from "../store/storeEras.js";
import type { MetadataStore, StoreItem } from "../types.js";

/** Options of the leases. */
export interface FencedLeasesOptions {
  readonly store: MetadataStore;
  readonly logger: Logger;
  /** Store key of the offset. */
  readonly offsetKey: string;
}

/** Offset of fencing tokens from an era on. */
interface FenceOffset {
  readonly era: number;
  readonly offset: number;
}

/** Added to tokens with each era: more revisions than a snapshot can lack, and integral for unreported eras too. */
const offsetPerEra = 2 ** 24;

/** Era that a store reports before its first restore. */
const firstReportedEra = 1;

const offsetSchema = v.object({ era: v.number(), offset: v.number() });

/** Acquires, renews and releases leases. */
export class FencedLeases implements LeaseService {
  /** The latest known offset, even if the store has lost it. */
  private latest: FenceOffset | undefined;

  private constructor(private readonly options: FencedLeasesOptions) {}

  static create(options: FencedLeasesOptions): FencedLeases {
    return new FencedLeases(options);
  }

  /** Applies an item of the store if it is the offset; ignores other items. */
  handleItem(key: string, item: StoreItem | undefined): void {
    if (key === this.options.offsetKey && item) this.keepLatest(decodeItem(offsetSchema, item.value));
  }

  async acquireLease(
    name: string,
    holder: string,
    ttl: number,
  ): Promise<Result<GrantedLease | undefined, Failure>> {
    const { store, offsetKey } = this.options;
    const reading = await store.read(offsetKey);
    if (reading.isErr()) return reading;
    const { item, era } = reading.value;
    this.keepLatest(item && decodeItem(offsetSchema, item.value));
    const granted = await store.grantLease(ttl);
    if (granted.isErr()) return granted;
    const lease = granted.value;
    const current = createOffset(this.latest, era);
    const expected = [
      { key: name, revision: 0 },
      { key: offsetKey, revision: item?.revision ?? 0 },
    ];
    const isStored = current.era === initialEra || (item !== undefined && this.latest?.era === era);
    const offsetWrites = isStored ? [] : [{ key: offsetKey, value: Buffer.from(JSON.stringify(current)) }];
    const put = [{ key: name, value: Buffer.from(holder), lease }, ...offsetWrites];
    const taken = await store.transact({ expected, put, remove: [] });
    if (taken.isErr()) {
      void store.releaseLease(lease);
      return taken.error.code === FailureCode.ServiceConflict ? Ok(undefined) : taken;
    }
    this.keepLatest(current);
    return Ok({ session: lease, fence: current.offset + taken.value.revision });
  }

  renewLease(session: string): Promise<Result<void, Failure>> {
    return this.options.store.renewLease(session);
  }

  releaseLease(session: string): Promise<Result<void, Failure>> {
    return this.options.store.releaseLease(session);
  }

  private keepLatest(found: FenceOffset | undefined): void {
    if (found && found.offset >= (this.latest?.offset ?? 0) && found.era >= (this.latest?.era ?? 0))
      this.latest = found;
  }
}

/** Returns the offset of an era, computed from that of an earlier era. */
function createOffset(earlier: FenceOffset | undefined, era: number): FenceOffset {
  if (!earlier) return { era, offset: getUnknownOffset(era) };
  const { era: earlierEra, offset } = earlier;
  // The first era that a store reports does not mean that the store was restored.
  const isFirstReported = earlierEra === initialEra && isReportedEra(era);
  const grownBy = isFirstReported ? 0 : Math.max(0, era - earlierEra);
  return { era, offset: offset + grownBy * offsetPerEra };
}

/**
 * Returns the offset of an era when neither this instance nor the store knows an earlier one. That does not mean that there was none:
 * the instances that knew it may have ended, and the store may have lost it. Reported eras count the restores, so that the result is
 * at least what the offset has grown to.
 */
function getUnknownOffset(era: number): number {
  const restores = isReportedEra(era) ? era - firstReportedEra : era;
  return restores * offsetPerEra;
}
