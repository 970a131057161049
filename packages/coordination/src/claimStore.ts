/**
 * The claim ledger: who may send a request that runs at most once.
 *
 * Keys hash to shards. Each shard has one head value that every claim goes through by compare-and-swap, so two claims
 * of one key cannot both win, whoever writes them. Group commit: one swap a shard is in flight, and all claims that
 * come meanwhile go into the next; writes a second are bounded by shards, not by requests. A head that has grown old
 * or large is put away whole: its claims go to an archive value, then one swap starts a new head that names the
 * archive. That swap expects the revision that was archived, so no claim can slip in between.
 * @module
 */
import { type Clock, Failure, FailureCode, hashText, waitFor } from "@gladewall/kernel";
import { Err, Ok, type Result } from "ts-results-es";
import { Decoder, Encoder } from "cbor-x/encode";
import type { KeyValueService } from "./types.js";

/** One claim: the right of one request to be sent. */
export interface Claim {
  /** Digest of the key that may be used once. */
  readonly key: string;
  /** Request that claims it. */
  readonly request: string;
  /** Process that may send the request; nobody else ever does. */
  readonly writer: string;
  /** Digest of what is asked, to tell another request under the same key. */
  readonly body: string;
  /** Endpoint that it is sent to first. */
  readonly endpoint: string;
  /** Run id that it is sent under first, by which others can attach to it. */
  readonly run: string;
}

/** Whose claim stands. */
export interface ClaimOutcome {
  readonly isWon: boolean;
  /** The claim that stands in the ledger. */
  readonly claim: Claim;
}

/** Options of the ledger. */
export interface ClaimStoreOptions {
  readonly service: KeyValueService;
  readonly clock: Clock;
  /** Prefix of the ledger's keys. */
  readonly prefix: string;
  readonly shards: number;
  /** Least milliseconds between two swaps of a shard. */
  readonly interval: number;
  /** Milliseconds after which a claim that could not be recorded is given up. */
  readonly patience: number;
  /** Milliseconds for which a key is remembered, at least. */
  readonly retention: number;
  /** Bytes of a head above which it is put away. */
  readonly maxActiveBytes: number;
}

/** Claims as stored: the key's digest to the rest, in an array to be small. */
type StoredClaim = readonly [request: string, writer: string, body: string, endpoint: string, run: string];
type StoredClaims = Record<string, StoredClaim>;

interface Archive {
  readonly key: string;
  /** Wall clock of the archive's last claim, milliseconds. */
  readonly closedAt: number;
}

interface Head {
  /** Wall clock of the head's first claim, milliseconds. */
  readonly startedAt: number;
  readonly claims: StoredClaims;
  readonly archives: readonly Archive[];
}

interface Pending {
  readonly claim: Claim;
  readonly deadline: number;
  readonly settle: (result: Result<ClaimOutcome, Failure>) => void;
}

interface Shard {
  readonly key: string;
  pending: Pending[];
  isCommitting: boolean;
  head: Head;
  /** Revision of `head`; undefined where the head must be read. */
  revision: number | undefined;
  lastSwapAt: number;
  encodedBytes: number;
}

const emptyHead: Head = { startedAt: 0, claims: {}, archives: [] };
const encoder = new Encoder({ useRecords: false, tagUint8Array: false });
const decoder = new Decoder({ useRecords: false, mapsAsObjects: true });
const retryPause = 50;
const archivesPerRetention = 4;
const archivesCached = 256;

/** The ledger as one process sees it. */
export class ClaimStore {
  private readonly shards: readonly Shard[];
  private readonly archives = new Map<string, StoredClaims>();
  /** Swaps sent, for metrics. */
  swapCount = 0;

  private constructor(private readonly options: ClaimStoreOptions) {
    this.shards = Array.from({ length: options.shards }, (_, index) => ({
      key: `${options.prefix}${index}`,
      pending: [],
      isCommitting: false,
      head: emptyHead,
      revision: undefined,
      lastSwapAt: -Infinity,
      encodedBytes: 0,
    }));
  }

  static create(options: ClaimStoreOptions): ClaimStore {
    return new ClaimStore(options);
  }

  /** Returns the shard of a key, for choosing its usual writer. */
  getShardIndex(key: string): number {
    return hashText(key) % this.options.shards;
  }

  /**
   * Claims a key. Ok once it is known whose claim stands; fails with `ClaimUnavailable` where nothing is known in
   * time. After a failure the claim may still stand, so its request must not be sent, then or later.
   */
  claim(claim: Claim): Promise<Result<ClaimOutcome, Failure>> {
    const shard = this.shards[this.getShardIndex(claim.key)];
    if (!shard) return Promise.resolve(Err(Failure.create(FailureCode.ClaimUnavailable)));
    const deadline = this.options.clock.getTime() + this.options.patience;
    return new Promise((settle) => {
      shard.pending.push({ claim, deadline, settle });
      if (!shard.isCommitting) void this.commit(shard);
    });
  }

  /**
   * Gives a claim back whose request surely was not sent and never will be, so that its key can be used again. Fails
   * where that could not be recorded; the key then stays used.
   */
  async release(claim: Claim): Promise<Result<void, Failure>> {
    const shard = this.shards[this.getShardIndex(claim.key)];
    const end = this.options.clock.getTime() + this.options.patience;
    while (shard && this.options.clock.getTime() < end) {
      // Waits for its turn: a shard has one swap in flight.
      if (!shard.isCommitting && (await this.releaseOnce(shard, claim))) return Ok.EMPTY;
      await waitFor(this.options.clock, retryPause);
    }
    return Err(Failure.create(FailureCode.ClaimUnavailable));
  }

  private async releaseOnce(shard: Shard, claim: Claim): Promise<boolean> {
    shard.isCommitting = true;
    const read = await this.readHead(shard);
    const found = read.isOk() ? await this.findInHead(shard.head, claim.key) : read;
    const standing = found.isOk() ? found.value : undefined;
    const isOwn = standing?.request === claim.request && standing.writer === claim.writer;
    let isDone = found.isOk() && !isOwn;
    if (isOwn)
      isDone = await this.writeHead(shard, {
        ...shard.head,
        claims: { ...shard.head.claims, [claim.key]: releasedClaim },
      });
    shard.isCommitting = false;
    if (shard.pending.length > 0) void this.commit(shard);
    return isDone;
  }

  /** Reads whose claim stands on a key, undefined where none does. */
  async find(key: string): Promise<Result<Claim | undefined, Failure>> {
    const shard = this.shards[this.getShardIndex(key)];
    if (!shard) return Ok(undefined);
    const read = await this.readHead(shard);
    if (read.isErr()) return read;
    return this.findInHead(shard.head, key);
  }

  /** Swaps until nothing is pending. */
  private async commit(shard: Shard): Promise<void> {
    const { clock, interval } = this.options;
    shard.isCommitting = true;
    while (shard.pending.length > 0) {
      const pause = shard.lastSwapAt + interval - clock.getTime();
      if (pause > 0) await waitFor(clock, pause);
      const isDone = await this.commitOnce(shard);
      if (!isDone) await waitFor(clock, retryPause);
      this.giveUpLate(shard);
    }
    shard.isCommitting = false;
  }

  /** One read if needed and one swap; true where the shard's state is known afterwards. */
  private async commitOnce(shard: Shard): Promise<boolean> {
    // Only what was looked up may be added: a claim that comes during the look-up is for the next round.
    const group = [...shard.pending];
    const isFresh = shard.revision === undefined;
    if (isFresh) {
      const read = await this.readHead(shard);
      if (read.isErr()) return false;
    }
    let standing = await this.findStanding(shard, group);
    if (standing.isOk() && standing.value.size > 0 && !isFresh) {
      // "Another's claim stands" is only said from what was just read: the claim may have been given back since.
      const read = await this.readHead(shard);
      standing = read.isOk() ? await this.findStanding(shard, group) : read;
    }
    if (standing.isErr()) return false;
    const known = standing.value;
    for (const [pending, claim] of known)
      this.settle(shard, pending, Ok(createOutcome(pending.claim, claim)));
    const added = getFirstOfEachKey(group.filter((pending) => !known.has(pending)));
    if (added.length === 0) return true;
    const put = await this.putAwayIfDue(shard);
    if (put.isErr()) return false;
    return this.swap(shard, added);
  }

  /** Returns the pending claims whose keys are already claimed, with the claims that stand. */
  private async findStanding(
    shard: Shard,
    group: readonly Pending[],
  ): Promise<Result<ReadonlyMap<Pending, Claim>, Failure>> {
    const standing = new Map<Pending, Claim>();
    for (const pending of group) {
      const found = await this.findInHead(shard.head, pending.claim.key);
      if (found.isErr()) return found;
      if (found.value) standing.set(pending, found.value);
    }
    return Ok(standing);
  }

  private async swap(shard: Shard, added: readonly Pending[]): Promise<boolean> {
    const claims: StoredClaims = { ...shard.head.claims };
    for (const { claim } of added) claims[claim.key] = formatClaim(claim);
    const startedAt = shard.head.startedAt === 0 ? this.options.clock.getWallTime() : shard.head.startedAt;
    const next: Head = { ...shard.head, startedAt, claims };
    const isSwapped = await this.writeHead(shard, next);
    if (!isSwapped) return false;
    for (const pending of added) this.settle(shard, pending, Ok({ isWon: true, claim: pending.claim }));
    return true;
  }

  /** Swaps the head; on any doubt the head is read again, where a claim that took effect is found. */
  private async writeHead(shard: Shard, next: Head): Promise<boolean> {
    const bytes = encoder.encode(next);
    this.swapCount += 1;
    shard.lastSwapAt = this.options.clock.getTime();
    const swapped = await this.options.service.compareAndSwap(shard.key, bytes, shard.revision ?? 0);
    if (swapped.isErr()) {
      shard.revision = undefined;
      return false;
    }
    shard.head = next;
    shard.revision = swapped.value;
    shard.encodedBytes = bytes.length;
    return true;
  }

  private async readHead(shard: Shard): Promise<Result<void, Failure>> {
    const read = await this.options.service.read(shard.key);
    if (read.isErr()) return read;
    const head = read.value ? tryDecode<Head>(read.value.value, shard.key) : Ok(emptyHead);
    if (head.isErr()) return head;
    shard.head = head.value;
    shard.revision = read.value?.revision ?? 0;
    shard.encodedBytes = read.value?.value.length ?? 0;
    return Ok.EMPTY;
  }

  /** Puts the head's claims into an archive and starts a new head. */
  private async putAwayIfDue(shard: Shard): Promise<Result<void, Failure>> {
    const { clock, retention, maxActiveBytes: headBytes, service } = this.options;
    const now = clock.getWallTime();
    const isOld = shard.head.startedAt !== 0 && now - shard.head.startedAt > retention / archivesPerRetention;
    if (!isOld && shard.encodedBytes < headBytes) return Ok.EMPTY;
    const key = `${shard.key}/${shard.revision}`;
    // The archive's key names the revision it was made from: writing it twice writes the same.
    const written = await service.compareAndSwap(key, encoder.encode(shard.head.claims), 0);
    if (written.isErr() && written.error.code !== FailureCode.ServiceConflict)
      return written.map(() => undefined);
    const kept = shard.head.archives.filter((archive) => now - archive.closedAt <= retention);
    const head: Head = { startedAt: 0, claims: {}, archives: [...kept, { key, closedAt: now }] };
    this.cacheArchive(key, shard.head.claims);
    const isSwapped = await this.writeHead(shard, head);
    return isSwapped ? Ok.EMPTY : Err(Failure.create(FailureCode.ServiceConflict, { key: shard.key }));
  }

  private async findInHead(head: Head, key: string): Promise<Result<Claim | undefined, Failure>> {
    const present = head.claims[key];
    if (present) return Ok(createClaim(key, present));
    // The newest first: a later word on a key goes before an earlier one.
    for (const archive of [...head.archives].reverse()) {
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
    // An archive that a head names was written before that head; not to find it means not to know.
    if (!read.value)
      return Err(Failure.create(FailureCode.ServiceUnavailable, { detail: `archive ${key} is missing` }));
    const claims = tryDecode<StoredClaims>(read.value.value, key);
    if (claims.isOk()) this.cacheArchive(key, claims.value);
    return claims;
  }

  private cacheArchive(key: string, claims: StoredClaims): void {
    this.archives.set(key, claims);
    for (const oldest of this.archives.keys()) {
      if (this.archives.size <= archivesCached) break;
      this.archives.delete(oldest);
    }
  }

  private settle(shard: Shard, pending: Pending, result: Result<ClaimOutcome, Failure>): void {
    shard.pending = shard.pending.filter((other) => other !== pending);
    pending.settle(result);
  }

  private giveUpLate(shard: Shard): void {
    const now = this.options.clock.getTime();
    for (const pending of [...shard.pending]) {
      if (pending.deadline <= now)
        this.settle(shard, pending, Err(Failure.create(FailureCode.ClaimUnavailable)));
    }
  }
}

/** Of several claims on one key the first goes into the swap; the others find it there afterwards. */
function getFirstOfEachKey(pending: readonly Pending[]): readonly Pending[] {
  const first = new Map<string, Pending>();
  for (const each of pending) {
    if (!first.has(each.claim.key)) first.set(each.claim.key, each);
  }
  return [...first.values()];
}

/** A claim is won by its own request and writer only: a second writer of the same request must not send it again. */
function createOutcome(own: Claim, standing: Claim): ClaimOutcome {
  return { isWon: standing.request === own.request && standing.writer === own.writer, claim: standing };
}

function formatClaim({ request, writer, body, endpoint, run }: Claim): StoredClaim {
  return [request, writer, body, endpoint, run];
}

/** Stands for a key whose claim was given back. */
const releasedClaim: StoredClaim = ["", "", "", "", ""];

/** Returns a stored claim, undefined where it was given back. */
function createClaim(key: string, [request, writer, body, endpoint, run]: StoredClaim): Claim | undefined {
  if (request === "") return undefined;
  return { key, request, writer, body, endpoint, run };
}

/** Decodes a stored value; fails with `ServiceUnavailable` where it is none of ours. */
function tryDecode<Shape>(value: Uint8Array, key: string): Result<Shape, Failure> {
  try {
    return Ok(decoder.decode(Buffer.from(value)) as Shape);
  } catch {
    return Err(
      Failure.create(FailureCode.ServiceUnavailable, { detail: `the value of ${key} cannot be read` }),
    );
  }
}
