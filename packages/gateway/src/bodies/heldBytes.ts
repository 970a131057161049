/**
 * Counts the bytes of bodies that an instance holds in memory, over all requests, and bounds their sum.
 * @module
 */

/** A body that is read once there is room for it. */
interface Reservation {
  readonly share: HeldShare;
  readonly bytes: number;
  readonly resolve: () => void;
}

/** The bytes of all bodies of one kind. */
export class HeldBytes {
  private readonly shares = new Set<HeldShare>();
  private readonly waiting: Reservation[] = [];
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
    const share = HeldShare.create(this, giveWay);
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

  /** Resolves once a share holds as many bytes; in the order of the calls. */
  reserve(share: HeldShare, bytes: number): Promise<void> {
    return new Promise((resolve) => {
      this.waiting.push({ share, bytes, resolve });
      this.admitWaiting();
    });
  }

  /** Reduces a share to what its body holds for certain. */
  shrink(share: HeldShare, bytes: number): void {
    if (bytes >= share.bytes) return;
    this.set(share, bytes);
    this.admitWaiting();
  }

  close(share: HeldShare): void {
    this.total -= share.bytes;
    share.bytes = 0;
    this.shares.delete(share);
    this.admitWaiting();
  }

  /** Admits those that fit; one that is larger than the limit is admitted alone. */
  private admitWaiting(): void {
    for (let first = this.waiting[0]; first; first = this.waiting[0]) {
      const { share, bytes, resolve } = first;
      const isOpen = this.shares.has(share);
      const others = this.total - share.bytes;
      if (isOpen && others > 0 && others + bytes > this.limit) return;
      this.waiting.shift();
      if (isOpen) this.set(share, bytes);
      resolve();
    }
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

  private constructor(
    private readonly owner: HeldBytes,
    private onGiveWay: (() => void) | undefined,
  ) {}

  /** Use `HeldBytes.open`, which counts the share. */
  static create(owner: HeldBytes, onGiveWay: (() => void) | undefined): HeldShare {
    return new HeldShare(owner, onGiveWay);
  }

  get canGiveWay(): boolean {
    return this.onGiveWay !== undefined;
  }

  /** Sets the bytes that are held; returns whether all shares together are within the limit. */
  set(bytes: number): boolean {
    return this.owner.set(this, bytes);
  }

  /** Reduces what is held, so that others that wait may have the room. */
  shrink(bytes: number): void {
    this.owner.shrink(this, bytes);
  }

  /** Resolves once there is room for as many bytes, which then count as held. */
  reserve(bytes: number): Promise<void> {
    return this.owner.reserve(this, bytes);
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
