/**
 * Counts the bytes of bodies that an instance holds in memory, over all requests, and bounds their sum.
 * @module
 */

/** The bytes of all bodies of one kind. */
export class HeldBytes {
  private readonly shares = new Set<HeldShare>();
  private total = 0;

  private constructor(readonly limit: number) {}

  /** `limit`: bytes that may be held at once. */
  static create(limit: number): HeldBytes {
    return new HeldBytes(limit);
  }

  /** Bytes that are held now. */
  get held(): number {
    return this.total;
  }

  /** Opens the share of one body. `giveWay` is called if the body is the largest one while there are too many bytes. */
  open(giveWay?: () => void): HeldShare {
    const share = new HeldShare(this, giveWay);
    this.shares.add(share);
    return share;
  }

  /** Changes a share; returns whether all shares are within the limit. */
  set(share: HeldShare, bytes: number): boolean {
    this.total += bytes - share.bytes;
    share.bytes = bytes;
    if (this.total <= this.limit) return true;
    this.findLargest()?.giveWay();
    return false;
  }

  close(share: HeldShare): void {
    this.total -= share.bytes;
    share.bytes = 0;
    this.shares.delete(share);
  }

  private findLargest(): HeldShare | undefined {
    let largest: HeldShare | undefined;
    for (const share of this.shares) {
      if (share.canGiveWay && share.bytes > (largest?.bytes ?? 0)) largest = share;
    }
    return largest;
  }
}

/** What one body holds. */
export class HeldShare {
  bytes = 0;

  /** Created by `HeldBytes.open`. */
  constructor(
    private readonly owner: HeldBytes,
    private onGiveWay: (() => void) | undefined,
  ) {}

  get canGiveWay(): boolean {
    return this.onGiveWay !== undefined;
  }

  /** Sets the bytes that are held; returns whether all shares together are within the limit. */
  set(bytes: number): boolean {
    return this.owner.set(this, bytes);
  }

  /** Asks the holder, once, to hold no more. */
  giveWay(): void {
    const { onGiveWay } = this;
    this.onGiveWay = undefined;
    onGiveWay?.();
  }

  /** Ends the share; nothing is held any more. */
  close(): void {
    this.owner.close(this);
  }
}
