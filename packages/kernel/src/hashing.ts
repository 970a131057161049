/**
 * Hash functions with the same results in every process: fast text hashes and scores for rendezvous hashing.
 * @module
 */
// `>>> 0` turns a signed 32-bit number into an unsigned one.
const unsignedBits = 0;
const fnvOffset = 0x811c9dc5;
const fnvPrime = 0x01000193;

/**
 * Returns a 32-bit hash of a text: FNV-1a over its UTF-16 code units, then a finalizer, because FNV alone
 * distributes short names badly. Implemented in plain code, so that no WebAssembly has to be compiled at
 * startup.
 */
export function hashText(text: string, seed = 0): number {
  let hash = fnvOffset ^ seed;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), fnvPrime);
  }
  return mixHashes(hash, 0);
}

/**
 * Mixes two 32-bit hashes into a rendezvous score. Cheap enough to be computed for every endpoint in every
 * decision.
 */
export function mixHashes(left: number, right: number): number {
  // Finalizer of MurmurHash3: each input bit affects half of the output bits on average.
  let mixed = left ^ right;
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> unsignedBits;
}

/**
 * Returns the candidates sorted by their rendezvous score for a key, highest first. Equal scores are sorted by
 * name.
 */
export function sortByRendezvous<Candidate>(
  key: string,
  candidates: readonly Candidate[],
  getName: (candidate: Candidate) => string,
): Candidate[] {
  const keyHash = hashText(key);
  const scored = candidates.map((candidate) => {
    const name = getName(candidate);
    return { candidate, name, score: mixHashes(keyHash, hashText(name)) };
  });
  scored.sort((left, right) => right.score - left.score || (left.name < right.name ? -1 : 1));
  return scored.map(({ candidate }) => candidate);
}
