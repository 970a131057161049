/**
 * Hashes of prompt blocks, by which entries know a prompt's prefix without keeping the prompt.
 * @module
 */
import { hashText } from "@gladewall/kernel";

const blockCharacters = 1024;
const highestBlocks = 256;

/** Returns the chained hashes of a prompt's whole blocks; each stands for the prompt up to its end. */
export function hashPromptBlocks(prompt: string): readonly number[] {
  const hashes: number[] = [];
  let chained = 0;
  for (
    let start = 0;
    start + blockCharacters <= prompt.length && hashes.length < highestBlocks;
    start += blockCharacters
  ) {
    chained = hashText(prompt.slice(start, start + blockCharacters), chained);
    hashes.push(chained);
  }
  return hashes;
}

/** Characters of one block. */
export const promptBlockCharacters = blockCharacters;
