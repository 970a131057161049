/**
 * Binary heap that finds its items by identity, so that any item can be removed or moved in O(log n).
 * @module
 */

/** Heap of distinct items. `isBefore` states which of two items comes first. */
export class IndexedHeap<Item> {
  private readonly items: Item[] = [];
  private readonly indexes = new Map<Item, number>();

  private constructor(private readonly isBefore: (left: Item, right: Item) => boolean) {}

  static create<Item>(isBefore: (left: Item, right: Item) => boolean): IndexedHeap<Item> {
    return new IndexedHeap<Item>(isBefore);
  }

  get size(): number {
    return this.items.length;
  }

  /** Returns the item that comes first; undefined if there is none. */
  getFirst(): Item | undefined {
    return this.items[0];
  }

  /** Adds an item that is not in the heap. */
  add(item: Item): void {
    this.items.push(item);
    this.moveUp(item, this.items.length - 1);
  }

  /** Removes an item; returns false if it is not in the heap. */
  remove(item: Item): boolean {
    const index = this.indexes.get(item);
    if (index === undefined) return false;
    this.indexes.delete(item);
    const last = this.items.pop();
    if (last !== undefined && index < this.items.length) this.place(last, index);
    return true;
  }

  /** Restores the order after the key of an item in the heap has changed. */
  update(item: Item): void {
    const index = this.indexes.get(item);
    if (index !== undefined) this.place(item, index);
  }

  private place(item: Item, index: number): void {
    this.moveDown(item, this.moveUp(item, index));
  }

  private moveUp(item: Item, start: number): number {
    let index = start;
    while (index > 0) {
      const parentIndex = (index - 1) >> 1;
      const parent = this.items[parentIndex]!;
      if (!this.isBefore(item, parent)) break;
      this.put(parent, index);
      index = parentIndex;
    }
    this.put(item, index);
    return index;
  }

  private moveDown(item: Item, start: number): void {
    let index = start;
    for (;;) {
      let childIndex = 2 * index + 1;
      if (childIndex >= this.items.length) break;
      const next = childIndex + 1;
      if (next < this.items.length && this.isBefore(this.items[next]!, this.items[childIndex]!))
        childIndex = next;
      const child = this.items[childIndex]!;
      if (!this.isBefore(child, item)) break;
      this.put(child, index);
      index = childIndex;
    }
    this.put(item, index);
  }

  private put(item: Item, index: number): void {
    this.items[index] = item;
    this.indexes.set(item, index);
  }
}
