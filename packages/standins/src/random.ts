/**
 * Draws for tests that play troubles: the same for the same seed, on any machine.
 * @module
 */

/** Returns draws from 0 to 1; the seed is any whole number. */
export function createRandom(seed: number): () => number {
  let state = seed >>> 0;
  return () => {
    // The linear congruential generator of Numerical Recipes.
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
    return state / 2 ** 32;
  };
}
