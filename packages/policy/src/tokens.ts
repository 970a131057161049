/**
 * The one rule by which prompts are counted where no tokenizer is at hand: four bytes of UTF-8 are a token.
 * @module
 */
const bytesPerToken = 4;

/** Estimates the tokens of a text, rounded up. */
export function estimateTokens(text: string): number {
  return Math.ceil(Buffer.byteLength(text) / bytesPerToken);
}
