/**
 * The text that the fake engine generates. Each token depends only on the prompt and its position, so that a text which
 * was put together from several runs can be compared with the text of one uninterrupted run.
 * @module
 */
import { createHash } from "node:crypto";

/** One message of a chat. */
export interface ChatMessage {
  readonly role: string;
  readonly content: string;
}

const vocabulary = [
  "skip",
  "lorry",
  "gate",
  "depot",
  "permit",
  "waste",
  "valve",
  "pump",
  "chapter",
  "page",
  "draft",
  "quay",
];
const bytesPerToken = 4;

/** Returns the digest of a prompt, from which its text is generated. */
export function getPromptDigest(prompt: string): Buffer {
  return createHash("sha256").update(prompt).digest();
}

/** Returns the token at a position, followed by a space. */
export function getToken(digest: Buffer, position: number): string {
  const byte = digest[position % digest.length] ?? 0;
  return `${vocabulary[(byte + position * 7) % vocabulary.length]}${position} `;
}

/** Returns the complete text of `length` tokens for a prompt. */
export function getFullText(prompt: string, length: number): string {
  const digest = getPromptDigest(prompt);
  return Array.from({ length }, (_, position) => getToken(digest, position)).join("");
}

/**
 * Estimates the tokens of a text by the rule that the whole project uses: four bytes of UTF-8 per token, rounded up.
 */
export function estimateTokens(text: string): number {
  return Math.ceil(Buffer.byteLength(text) / bytesPerToken);
}

/**
 * A parsed request: the prompt, from which the text is generated, and the length of the text that the request already
 * holds.
 */
export interface ParsedPrompt {
  readonly prompt: string;
  /** Number of generated tokens that the request contains, if it continues a text. */
  readonly emitted: number;
}

/**
 * Parses the messages of a chat. With `continue_final_message`, a last message of the assistant is the text generated
 * so far.
 */
export function parseChat(messages: readonly ChatMessage[], isContinued: boolean): ParsedPrompt {
  const last = messages[messages.length - 1];
  const hasAnswer = isContinued && last?.role === "assistant";
  const promptMessages = hasAnswer ? messages.slice(0, -1) : messages;
  const prompt = promptMessages.map((message) => `${message.role}: ${message.content}`).join("\n");
  return { prompt, emitted: hasAnswer && last ? countTokens(last.content) : 0 };
}

/** Counts the tokens of a generated text. */
export function countTokens(text: string): number {
  return text.split(" ").length - 1;
}
