/**
 * Stores claims in the key-value service. A claim is the exclusive right to send a request that must run at most once;
 * the first claim of a key wins.
 *
 * Keys are hashed to shards. Each shard has one value, its active segment, and every claim is added to it by
 * compare-and-swap, so that two claims of one key cannot both win, whichever process writes them. Claims are
 * committed in groups: at most one swap per shard is in flight, and the claims that arrive meanwhile go into
 * the next one, so that the number of writes per second depends on the number of shards, not of requests. An
 * active segment that is too old or too large is archived: its claims are written to an archive value, then one
 * swap replaces the segment by an empty one that refers to the archive. That swap expects the revision that was
 * archived, so no claim can be lost in between.
 * @module
 */
import { type Clock, Failure, FailureCode, hashText, waitFor } from "@gladewall/kernel";
import { Err, Ok, type Result } from "ts-results-es";
import { Decoder, Encoder } from "cbor-x/encode";
import type { KeyValueService } from "./types.js";

/** A claim: the exclusive right of one writer to send one request. */
export interface Claim {
  /** Digest of the key that may be used only once. */
  readonly key: string;
  /** Id of the request that claims the key. */
  readonly request: string;
  /** Process that may send the request; no other process ever does. */
  readonly writer: string;
  /** Digest of the request body, to detect a different request with the same key. */
  readonly body: string;
  /** Endpoint that the request is sent to first. */
  readonly endpoint: string;
  /** Run id of the first attempt, by which other processes can attach to it. */
  readonly run: string;
}

/** Result of a claim attempt: whether it was won, and the claim that holds the key. */
export interface ClaimOutcome {
  readonly isWon: boolean;
  /** The claim that holds the key. */
  readonly claim: Claim;
}

/** Options of a claim store. */
export interface ClaimStoreOptions {
  readonly service: KeyValueService;
  readonly clock: Clock;
  /** Prefix of the keys in the key-value service. */
  readonly prefix: string;
  /** Number of shards; must be the same in all processes, because it decides where a key is stored. */
  readonly shards: number;
  /** Minimum milliseconds between two swaps of a shard. */
  readonly minSwapIntervalMs: number;
  /** Milliseconds after which a claim that could not be recorded fails. */
  readonly timeoutMs: number;
  /** Minimum milliseconds for which a claimed key is kept. */
  readonly retentionMs: number;
  /** Encoded size in bytes from which an active segment is archived. */
  readonly maxActiveBytes: number;
}

/** The fields of a claim other than its key, stored as an array to save space. Claims are stored by key digest. */
type StoredClaim = readonly [request: string, writer: string, body: string, endpoint: string, run: string];
type StoredClaims = Record<string, StoredClaim>;

interface Archive {
  readonly key: string;
  /** Wall-clock time in milliseconds at which the archive was written, thus not before its last claim. */
  readonly closedAt: number;
}

interface Segment {
  /** Wall-clock time of the segment's first claim in milliseconds; 0 while it has none. */
  readonly startedAt: number;
  readonly claims: StoredClaims;
  readonly archives: readonly Archive[];
}

interface PendingClaim {
  readonly claim: Claim;
  readonly deadline: number;
  readonly settle: (result: Result<ClaimOutcome, Failure>) => void;
}

interface Shard {
  readonly key: string;
  pending: PendingClaim[];
  isCommitting: boolean;
  active: Segment;
  /** Revision of `active`; undefined if the segment has to be read. */
  revision: number | undefined;
  lastSwapAt: number;
  encodedBytes: number;
}

const emptySegment: Segment = { startedAt: 0, claims: {}, archives: [] };
const encoder = new Encoder({ useRecords: false, tagUint8Array: false });
const decoder = new Decoder({ useRecords: false, mapsAsObjects: true });
const retryPauseMs = 50;
const archivesPerRetention = 4;
const maxCachedArchives = 256;

/** Claim store of one process. Caches the active segments and the archives it has read. */
export class ClaimStore {
  private readonly shards: readonly Shard[];
  private readonly archives = new Map<string, StoredClaims>();
  /** Number of swaps sent, for metrics. */
  swapCount = 0;

  private constructor(private readonly options: ClaimStoreOptions) {
    this.shards = Array.from({ length: options.shards }, (_, index) => ({
      key: `${options.prefix}${index}`,
      pending: [],
      isCommitting: false,
      active: emptySegment,
      revision: undefined,
      lastSwapAt: -Infinity,
      encodedBytes: 0,
    }));
  }

  static create(options: ClaimStoreOptions): ClaimStore {
    return new ClaimStore(options);
  }

  /** Returns the shard of a key, by which its preferred writer is chosen. */
  getShardIndex(key: string): number {
    return hashText(key) % this.options.shards;
  }

  /**
   * Claims a key. Returns the claim that holds the key; fails with `ClaimUnavailable` if that is not known before the
   * timeout. After a failure the claim may have been recorded all the same, so the caller must never send its request.
   */
  claim(claim: Claim): Promise<Result<ClaimOutcome, Failure>> {
    const shard = this.shards[this.getShardIndex(claim.key)];
    if (!shard) return Promise.resolve(Err(Failure.create(FailureCode.ClaimUnavailable)));
    const deadline = this.options.clock.getTime() + this.options.timeoutMs;
    return new Promise((settle) => {
      shard.pending.push({ claim, deadline, settle });
      if (!shard.isCommitting) void this.commit(shard);
    });
  }

  /**
   * Releases a claim, so that its key can be used again. The caller must be certain that the request was not sent and
   * never will be. Fails with `ClaimUnavailable` if the release could not be recorded; the key then stays claimed.
   */
  async release(claim: Claim): Promise<Result<void, Failure>> {
    const shard = this.shards[this.getShardIndex(claim.key)];
    const deadline = this.options.clock.getTime() + this.options.timeoutMs;
    while (shard && this.options.clock.getTime() < deadline) {
      // A shard has at most one swap in flight, so this waits until none is.
      if (!shard.isCommitting && (await this.releaseOnce(shard, claim))) return Ok.EMPTY;
      await waitFor(this.options.clock, retryPauseMs);
    }
    return Err(Failure.create(FailureCode.ClaimUnavailable));
  }

  private async releaseOnce(shard: Shard, claim: Claim): Promise<boolean> {
    shard.isCommitting = true;
    const read = await this.readSegment(shard);
    const found = read.isOk() ? await this.findInSegment(shard.active, claim.key) : read;
    const holder = found.isOk() ? found.value : undefined;
    const isOwn = holder?.request === claim.request && holder.writer === claim.writer;
    let isDone = found.isOk() && !isOwn;
    if (isOwn)
      isDone = await this.writeSegment(shard, {
        ...shard.active,
        claims: { ...shard.active.claims, [claim.key]: releasedClaim },
      });
    shard.isCommitting = false;
    if (shard.pending.length > 0) void this.commit(shard);
    return isDone;
  }

  /** Reads the claim that holds a key; undefined if there is none. */
  async find(key: string): Promise<Result<Claim | undefined, Failure>> {
    const shard = this.shards[this.getShardIndex(key)];
    if (!shard) return Ok(undefined);
    const read = await this.readSegment(shard);
    if (read.isErr()) return read;
    return this.findInSegment(shard.active, key);
  }

  /** Commits groups of pending claims until none is left. */
  private async commit(shard: Shard): Promise<void> {
    const { clock, minSwapIntervalMs } = this.options;
    shard.isCommitting = true;
    while (shard.pending.length > 0) {
      const pause = shard.lastSwapAt + minSwapIntervalMs - clock.getTime();
      if (pause > 0) await waitFor(clock, pause);
      const isDone = await this.commitOnce(shard);
      if (!isDone) await waitFor(clock, retryPauseMs);
      this.failExpired(shard);
    }
    shard.isCommitting = false;
  }

  /** Commits one group of claims, reading the segment if necessary; returns false if the outcome is not known. */
  private async commitOnce(shard: Shard): Promise<boolean> {
    // Only claims that were looked up may be added. A claim that arrives during the lookup waits for the next group.
    const group = [...shard.pending];
    const isFresh = shard.revision === undefined;
    if (isFresh) {
      const read = await this.readSegment(shard);
      if (read.isErr()) return false;
    }
    let holders = await this.findHolders(shard, group);
    if (holders.isOk() && holders.value.size > 0 && !isFresh) {
      // A claim is refused only after a fresh read, because the claim in the cached segment may have been
      // released since.
      const read = await this.readSegment(shard);
      holders = read.isOk() ? await this.findHolders(shard, group) : read;
    }
    if (holders.isErr()) return false;
    const claimed = holders.value;
    for (const [pending, claim] of claimed)
      this.settle(shard, pending, Ok(createOutcome(pending.claim, claim)));
    const added = getFirstOfEachKey(group.filter((pending) => !claimed.has(pending)));
    if (added.length === 0) return true;
    const archived = await this.archiveIfDue(shard);
    if (archived.isErr()) return false;
    return this.swap(shard, added);
  }

  /** Returns the pending claims whose keys are already claimed, with the claims that hold them. */
  private async findHolders(
    shard: Shard,
    group: readonly PendingClaim[],
  ): Promise<Result<ReadonlyMap<PendingClaim, Claim>, Failure>> {
    const holders = new Map<PendingClaim, Claim>();
    for (const pending of group) {
      const found = await this.findInSegment(shard.active, pending.claim.key);
      if (found.isErr()) return found;
      if (found.value) holders.set(pending, found.value);
    }
    return Ok(holders);
  }

  private async swap(shard: Shard, added: readonly PendingClaim[]): Promise<boolean> {
    const claims: StoredClaims = { ...shard.active.claims };
    for (const { claim } of added) claims[claim.key] = formatClaim(claim);
    const startedAt =
      shard.active.startedAt === 0 ? this.options.clock.getWallTime() : shard.active.startedAt;
    const next: Segment = { ...shard.active, startedAt, claims };
    const isSwapped = await this.writeSegment(shard, next);
    if (!isSwapped) return false;
    for (const pending of added) this.settle(shard, pending, Ok({ isWon: true, claim: pending.claim }));
    return true;
  }

  /**
   * Replaces the active segment by compare-and-swap. After any failure the segment is read again, because the swap may
   * have taken effect; its claims are then found there.
   */
  private async writeSegment(shard: Shard, next: Segment): Promise<boolean> {
    const bytes = encoder.encode(next);
    this.swapCount += 1;
    shard.lastSwapAt = this.options.clock.getTime();
    const swapped = await this.options.service.compareAndSwap(shard.key, bytes, shard.revision ?? 0);
    if (swapped.isErr()) {
      shard.revision = undefined;
      return false;
    }
    shard.active = next;
    shard.revision = swapped.value;
    shard.encodedBytes = bytes.length;
    return true;
  }

  private async readSegment(shard: Shard): Promise<Result<void, Failure>> {
    const read = await this.options.service.read(shard.key);
    if (read.isErr()) return read;
    const segment = read.value ? tryDecode<Segment>(read.value.value, shard.key) : Ok(emptySegment);
    if (segment.isErr()) return segment;
    shard.active = segment.value;
    shard.revision = read.value?.revision ?? 0;
    shard.encodedBytes = read.value?.value.length ?? 0;
    return Ok.EMPTY;
  }

  /** Archives the active segment if it is too old or too large, and starts an empty one. */
  private async archiveIfDue(shard: Shard): Promise<Result<void, Failure>> {
    const { clock, retentionMs, maxActiveBytes, service } = this.options;
    const now = clock.getWallTime();
    const isOld =
      shard.active.startedAt !== 0 && now - shard.active.startedAt > retentionMs / archivesPerRetention;
    if (!isOld && shard.encodedBytes < maxActiveBytes) return Ok.EMPTY;
    const key = `${shard.key}/${shard.revision}`;
    // The archive's key contains the revision that it was made from, so a second write would write the same value.
    const written = await service.compareAndSwap(key, encoder.encode(shard.active.claims), 0);
    if (written.isErr() && written.error.code !== FailureCode.ServiceConflict)
      return written.map(() => undefined);
    const kept = shard.active.archives.filter((archive) => now - archive.closedAt <= retentionMs);
    const segment: Segment = { startedAt: 0, claims: {}, archives: [...kept, { key, closedAt: now }] };
    this.cacheArchive(key, shard.active.claims);
    const isSwapped = await this.writeSegment(shard, segment);
    return isSwapped ? Ok.EMPTY : Err(Failure.create(FailureCode.ServiceConflict, { key: shard.key }));
  }

  private async findInSegment(segment: Segment, key: string): Promise<Result<Claim | undefined, Failure>> {
    const present = segment.claims[key];
    if (present) return Ok(createClaim(key, present));
    // Newest archive first, because a later entry of a key (such as its release) overrides an earlier one.
    for (const archive of [...segment.archives].reverse()) {
      const claims = await this.readArchive(archive.key);
      if (claims.isErr()) return claims;
      const archived = claims.value[key];
      if (archived) return Ok(createClaim(key, archived));
    }
    return Ok(undefined);
  }

  private async readArchive(key: string): Promise<Result<StoredClaims, Failure>> {
    const cached = this.archives.get(key);
    if (cached) return Ok(cached);
    const read = await this.options.service.read(key);
    if (read.isErr()) return read;
    // An archive is written before the segment that refers to it. If it is missing, its claims are unknown, so
    // the lookup must fail rather than report the key as free.
    if (!read.value)
      return Err(Failure.create(FailureCode.ServiceUnavailable, { detail: `archive ${key} is missing` }));
    const claims = tryDecode<StoredClaims>(read.value.value, key);
    if (claims.isOk()) this.cacheArchive(key, claims.value);
    return claims;
  }

  private cacheArchive(key: string, claims: StoredClaims): void {
    this.archives.set(key, claims);
    for (const oldest of this.archives.keys()) {
      if (this.archives.size <= maxCachedArchives) break;
      this.archives.delete(oldest);
    }
  }

  private settle(shard: Shard, pending: PendingClaim, result: Result<ClaimOutcome, Failure>): void {
    shard.pending = shard.pending.filter((other) => other !== pending);
    pending.settle(result);
  }

  private failExpired(shard: Shard): void {
    const now = this.options.clock.getTime();
    for (const pending of [...shard.pending]) {
      if (pending.deadline <= now)
        this.settle(shard, pending, Err(Failure.create(FailureCode.ClaimUnavailable)));
    }
  }
}

/** Returns the first pending claim of each key. The others stay pending and find it in the segment afterwards. */
function getFirstOfEachKey(pending: readonly PendingClaim[]): readonly PendingClaim[] {
  const first = new Map<string, PendingClaim>();
  for (const each of pending) {
    if (!first.has(each.claim.key)) first.set(each.claim.key, each);
  }
  return [...first.values()];
}

/** Only the same request and writer win a claim: a second writer of the same request must not send it again. */
function createOutcome(own: Claim, holder: Claim): ClaimOutcome {
  return { isWon: holder.request === own.request && holder.writer === own.writer, claim: holder };
}

function formatClaim({ request, writer, body, endpoint, run }: Claim): StoredClaim {
  return [request, writer, body, endpoint, run];
}

/** Stored for a key whose claim was released. */
const releasedClaim: StoredClaim = ["", "", "", "", ""];

/** Converts a stored claim; undefined if it was released. */
function createClaim(key: string, [request, writer, body, endpoint, run]: StoredClaim): Claim | undefined {
  if (request === "") return undefined;
  return { key, request, writer, body, endpoint, run };
}

/** Decodes a stored value; fails with `ServiceUnavailable` if it was not written by a claim store. */
function tryDecode<Shape>(value: Uint8Array, key: string): Result<Shape, Failure> {
  try {
    return Ok(decoder.decode(Buffer.from(value)) as Shape);
  } catch {
    return Err(
      Failure.create(FailureCode.ServiceUnavailable, { detail: `the value of ${key} cannot be read` }),
    );
  }
}
