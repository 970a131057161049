/**
 * Seeded random numbers, so that a soak test chooses the same requests and faults for the same seed.
 * @module
 */
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** A seeded random number generator. */
export class SeededRandom {
  private constructor(private readonly generator: ReturnType<typeof xoroshiro128plus>) {}

  static create(seed: number): SeededRandom {
    return new SeededRandom(xoroshiro128plus(seed));
  }

  /** Returns a random integer from `min` to `max`, both included. */
  getInteger(min: number, max: number): number {
    return uniformInt(this.generator, min, max);
  }

  /** Returns a random item of a list, or undefined if the list is empty. */
  choose<Item>(items: readonly Item[]): Item | undefined {
    return items.length === 0 ? undefined : items[this.getInteger(0, items.length - 1)];
  }

  /** Returns a random item of a list, with a probability proportional to its weight; undefined if the list is empty. */
  chooseWeighted<Item extends { readonly weight: number }>(items: readonly Item[]): Item | undefined {
    const total = items.reduce((sum, item) => sum + item.weight, 0);
    let remaining = this.getInteger(1, Math.max(1, total));
    return items.find((item) => (remaining -= item.weight) <= 0);
  }
}
