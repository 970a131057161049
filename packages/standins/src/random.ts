/**
 * Seeded random numbers for tests with injected faults; a seed gives the same sequence on every machine.
 * @module
 */

/** Returns a generator of numbers from 0 (included) to 1 (excluded); the seed is any integer. */
export function createRandom(seed: number): () => number {
  let state = seed >>> 0;
  return () => {
    // The linear congruential generator from "Numerical Recipes".
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
    return state / 2 ** 32;
  };
}
