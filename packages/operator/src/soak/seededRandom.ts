/**
 * Seeded draws, so that a soak's script is the same for the same seed.
 * @module
 */
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** A source of draws. */
export class SeededRandom {
  private constructor(private readonly generator: ReturnType<typeof xoroshiro128plus>) {}

  static create(seed: number): SeededRandom {
    return new SeededRandom(xoroshiro128plus(seed));
  }

  /** Draws a whole number from `lowest` to `highest`, both included. */
  getInteger(lowest: number, highest: number): number {
    return uniformInt(this.generator, lowest, highest);
  }

  /** Draws one of a list; undefined where the list is empty. */
  choose<Item>(items: readonly Item[]): Item | undefined {
    return items.length === 0 ? undefined : items[this.getInteger(0, items.length - 1)];
  }

  /** Draws one of a list by weights. */
  chooseWeighted<Item extends { readonly weight: number }>(items: readonly Item[]): Item | undefined {
    const total = items.reduce((sum, item) => sum + item.weight, 0);
    let place = this.getInteger(1, Math.max(1, total));
    return items.find((item) => (place -= item.weight) <= 0);
  }
}
