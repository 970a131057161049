/**
 * Estimates token counts without a tokenizer: four bytes of UTF-8 count as one token.
 * @module
 */
const bytesPerToken = 4;

/** Returns the estimated number of tokens of a text, rounded up. */
export function estimateTokens(text: string): number {
  return Math.ceil(Buffer.byteLength(text) / bytesPerToken);
}
