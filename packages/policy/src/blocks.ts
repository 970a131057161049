/**
 * Hashes of prompt blocks. They identify the prefix of a prompt, so that an entry does not have to keep its text.
 * @module
 */
import { hashText } from "@gladewall/kernel";

const blockCharacters = 1024;
const maxBlocks = 256;

/**
 * Returns the chained hashes of a prompt's complete blocks, at most `maxBlocks`. Each hash covers the prompt from its
 * start to the end of that block; a last, incomplete block is left out.
 */
export function hashPromptBlocks(prompt: string): readonly number[] {
  const hashes: number[] = [];
  let chainedHash = 0;
  for (
    let start = 0;
    start + blockCharacters <= prompt.length && hashes.length < maxBlocks;
    start += blockCharacters
  ) {
    chainedHash = hashText(prompt.slice(start, start + blockCharacters), chainedHash);
    hashes.push(chainedHash);
  }
  return hashes;
}

/** Length of one block in UTF-16 code units. */
export const promptBlockCharacters = blockCharacters;
