/**
 * The text of the stand-in engine: each token is a function of the prompt and its position alone, so that an answer
 * put together from several runs can be compared with the one an undisturbed run gives.
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

/** Returns the digest that decides a prompt's answer. */
export function getPromptDigest(prompt: string): Buffer {
  return createHash("sha256").update(prompt).digest();
}

/** Returns the token at a position, with the space that ends it. */
export function getToken(digest: Buffer, position: number): string {
  const byte = digest[position % digest.length] ?? 0;
  return `${vocabulary[(byte + position * 7) % vocabulary.length]}${position} `;
}

/** Returns the whole answer of `length` tokens to a prompt. */
export function getFullText(prompt: string, length: number): string {
  const digest = getPromptDigest(prompt);
  return Array.from({ length }, (_, position) => getToken(digest, position)).join("");
}

/** Estimates tokens by the project's one rule: four bytes of UTF-8 a token, rounded up. */
export function estimateTokens(text: string): number {
  return Math.ceil(Buffer.byteLength(text) / bytesPerToken);
}

/** A prompt as the engine sees it: what decides the answer, and how much of the answer it already holds. */
export interface ParsedPrompt {
  readonly prompt: string;
  /** Tokens of the answer that the request itself brings, for a continued answer. */
  readonly emitted: number;
}

/** Parses a chat body; a last assistant message with `continue_final_message` is the answer so far. */
export function parseChat(messages: readonly ChatMessage[], isContinued: boolean): ParsedPrompt {
  const last = messages[messages.length - 1];
  const hasAnswer = isContinued && last?.role === "assistant";
  const promptMessages = hasAnswer ? messages.slice(0, -1) : messages;
  const prompt = promptMessages.map((message) => `${message.role}: ${message.content}`).join("\n");
  return { prompt, emitted: hasAnswer && last ? countTokens(last.content) : 0 };
}

/** Counts the tokens of an answer of this engine. */
export function countTokens(answer: string): number {
  return answer.split(" ").length - 1;
}
