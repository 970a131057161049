/**
 * Fake model engine with the OpenAI-compatible interface: continuous batching with a limited batch size, priorities, a
 * prefix cache, streams that can be resumed and cancelled by run id, and a load report.
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { type Clock, type Closeable, SystemClock, waitFor } from "@gladewall/kernel";
import { removeFrame } from "./rawResponse.js";
import { getBlockKeys, PrefixCache, type RunRecord, RunState } from "./engineRecord.js";
import { FakeHttpServer, readText, sendJson } from "./fakeHttpServer.js";
import {
  type ChatMessage,
  estimateTokens,
  getPromptDigest,
  getToken,
  parseChat,
  type ParsedPrompt,
} from "./deterministicText.js";

/** Fault of an engine. */
export enum EngineFault {
  None = 0,
  /** Refuses new runs with 503 before they start. */
  Refuse = 1,
  /** Closes the connection of each new stream after `faultAfter` tokens. */
  CutStream = 2,
  /** Confirms a cancellation, but continues the run. */
  IgnoreCancel = 3,
  /** Sends each frame twice. */
  Duplicate = 4,
  /** Sends a frame of another attempt before each frame of its own. */
  Foreign = 5,
  /** Ends the stream after `faultAfter` tokens without its end marker. */
  NoEndMark = 6,
  /** Accepts requests and never responds. */
  Silent = 7,
  /** Skips the token at position `faultAfter`. */
  SkipToken = 8,
}

/** Speeds and sizes of an engine: `width` is the maximum batch size. */
export interface EngineOptions {
  readonly width: number;
  readonly prefillTokensPerSecond: number;
  readonly tokenIntervalMs: number;
  readonly cacheBlocks: number;
}

interface Run {
  readonly record: RunRecord;
  readonly tokens: string[];
  readonly priority: number;
  readonly cancel: AbortController;
  readonly progressListeners: Set<() => void>;
  start: (() => void) | undefined;
}

interface CompletionBody {
  readonly model?: string;
  readonly messages?: readonly ChatMessage[];
  readonly prompt?: string;
  readonly max_tokens?: number;
  readonly stream?: boolean;
  readonly continue_final_message?: boolean;
  readonly emitted_tokens?: number;
}

/** Default options, which keep tests fast. */
export const fastEngineOptions: EngineOptions = {
  width: 8,
  prefillTokensPerSecond: 200_000,
  tokenIntervalMs: 1,
  cacheBlocks: 4096,
};

const defaultLength = 16;
const millisecondsPerSecond = 1000;

/** The server of the engine. */
export class FakeEngine implements Closeable {
  /** All runs that the engine accepted, in order. */
  readonly records: RunRecord[] = [];
  fault = EngineFault.None;
  faultAfter = 0;
  /** Whether streams have neither length nor chunks, and end with their connection. */
  isUnframed = false;
  private readonly runs = new Map<string, Run>();
  private readonly queue: Run[] = [];
  private readonly cache: PrefixCache;
  private running = 0;
  private server: FakeHttpServer | undefined;

  private constructor(
    private readonly options: EngineOptions,
    private readonly clock: Clock,
  ) {
    this.cache = PrefixCache.create(options.cacheBlocks);
  }

  static async create(
    options: EngineOptions = fastEngineOptions,
    clock: Clock = SystemClock.create(),
  ): Promise<FakeEngine> {
    const engine = new FakeEngine(options, clock);
    engine.server = await FakeHttpServer.create((request, response, url) =>
      engine.handle(request, response, url),
    );
    return engine;
  }

  get address(): string {
    return this.server?.address ?? "";
  }

  /** Stops all runs and closes all connections at once, as a crash does. */
  async close(): Promise<void> {
    for (const run of this.runs.values()) this.stopRun(run, RunState.Interrupted);
    await this.server?.close();
  }

  private async handle(request: IncomingMessage, response: ServerResponse, url: URL): Promise<void> {
    const path = url.pathname;
    if (path === "/load") return sendJson(response, 200, this.getLoad());
    if (path.startsWith("/v1/runs/")) return this.handleRun(request, response, url);
    if (request.method !== "POST" || !path.endsWith("/completions")) return sendJson(response, 404, {});
    const body = JSON.parse(await readText(request)) as CompletionBody;
    if (this.fault === EngineFault.Silent) return waitForClose(response);
    if (this.fault === EngineFault.Refuse) {
      response.setHeader("x-run-started", "no");
      return sendJson(response, 503, { error: { message: "no room" } });
    }
    const run = this.createRun(request, body);
    const source = getHeader(request, "x-kv-source");
    if (source !== "") await this.importCache(run.record, source);
    void this.executeRun(run);
    await this.streamRun(run, response, run.record.start, path.includes("/chat/"), body.model ?? "");
  }

  private getLoad(): unknown {
    return {
      running: this.running,
      queued: this.queue.length,
      cachedBlocks: this.cache.size,
      width: this.options.width,
    };
  }

  /** Handles requests for one run: its cache (`/kv`), its cancellation (DELETE), and its stream from a position. */
  private async handleRun(request: IncomingMessage, response: ServerResponse, url: URL): Promise<void> {
    const [, name = "", part] = /^\/v1\/runs\/([^/]+)(\/kv)?$/.exec(url.pathname) ?? [];
    const run = this.runs.get(decodeURIComponent(name));
    if (!run) return sendJson(response, 404, { state: "unknown" });
    if (part !== undefined)
      return sendJson(response, 200, { prompt: run.record.prompt, position: run.record.position });
    if (request.method === "DELETE") return sendJson(response, 200, this.cancelRun(run));
    const after = Number(url.searchParams.get("after") ?? "0");
    await this.streamRun(run, response, after, url.searchParams.get("form") !== "text", "");
  }

  /** Cancels a run; returns whether it had started and how many tokens it has emitted. */
  private cancelRun(run: Run): unknown {
    const wasStarted = run.record.state !== RunState.Queued;
    if (this.fault !== EngineFault.IgnoreCancel) this.stopRun(run, RunState.Cancelled);
    return { state: wasStarted ? "started" : "not-started", emitted: run.record.position };
  }

  /** Ends a run that is queued or running. */
  private stopRun(run: Run, state: RunState): void {
    if (run.record.state !== RunState.Queued && run.record.state !== RunState.Running) return;
    run.record.state = state;
    run.cancel.abort();
    run.start?.();
    notifyProgress(run);
  }

  private createRun(request: IncomingMessage, body: CompletionBody): Run {
    const parsed = parseBody(body);
    const record: RunRecord = {
      runId: getHeader(request, "x-run-id") || `own-${this.records.length}`,
      attempt: Number(getHeader(request, "x-attempt") || "1"),
      requestId: getHeader(request, "x-request-id"),
      prompt: parsed.prompt,
      promptTokens: estimateTokens(parsed.prompt) + parsed.emitted,
      cachedTokens: 0,
      importedTokens: 0,
      start: parsed.emitted,
      position: parsed.emitted,
      length: parsed.emitted + (body.max_tokens ?? defaultLength),
      state: RunState.Queued,
    };
    const priority = Number(getHeader(request, "x-priority") || "0");
    const run: Run = {
      record,
      tokens: [],
      priority,
      cancel: new AbortController(),
      progressListeners: new Set(),
      start: undefined,
    };
    this.records.push(record);
    this.runs.set(record.runId, run);
    return run;
  }

  /** Fetches the cache of the run that this one continues; if that fails, the prompt is processed again. */
  private async importCache(record: RunRecord, source: string): Promise<void> {
    try {
      const response = await fetch(`http://${source}`);
      const cache = (await response.json()) as { prompt?: string };
      if (response.ok && cache.prompt === record.prompt) record.importedTokens = record.promptTokens;
    } catch {
      // The source no longer exists, so the prompt is processed again.
    }
  }

  /** Runs a request as soon as the batch has room, then starts the next one in the queue. */
  private async executeRun(run: Run): Promise<void> {
    await this.waitForSlot(run);
    if (run.record.state !== RunState.Queued) return;
    run.record.state = RunState.Running;
    this.running += 1;
    await this.generate(run);
    this.running -= 1;
    this.queue.shift()?.start?.();
  }

  /** Queues a run by priority until the batch has room. */
  private async waitForSlot(run: Run): Promise<void> {
    if (this.running < this.options.width) return;
    const place = this.queue.findIndex((other) => other.priority < run.priority);
    this.queue.splice(place < 0 ? this.queue.length : place, 0, run);
    await new Promise<void>((resolve) => (run.start = resolve));
    const left = this.queue.indexOf(run);
    if (left >= 0) this.queue.splice(left, 1);
  }

  /** Processes the part of the prompt that is not cached, then emits one token per interval. */
  private async generate(run: Run): Promise<void> {
    const { record } = run;
    const keys = getBlockKeys(record.prompt);
    const cachedBlocks = this.cache.lookUpAndStore(keys);
    record.cachedTokens =
      keys.length === 0 ? 0 : Math.floor((record.promptTokens * cachedBlocks) / keys.length);
    record.cachedTokens = Math.max(record.cachedTokens, record.importedTokens);
    const missing = record.promptTokens - record.cachedTokens;
    const signal = run.cancel.signal;
    await waitFor(
      this.clock,
      (missing / this.options.prefillTokensPerSecond) * millisecondsPerSecond,
      signal,
    );
    const digest = getPromptDigest(record.prompt);
    while (record.position < record.length && !signal.aborted) {
      await waitFor(this.clock, this.options.tokenIntervalMs, signal);
      if (signal.aborted) return;
      run.tokens.push(getToken(digest, record.position));
      record.position += 1;
      notifyProgress(run);
    }
    if (!signal.aborted) record.state = RunState.Finished;
    notifyProgress(run);
  }

  /** Streams the tokens of a run from a position, with the injected fault. */
  private async streamRun(
    run: Run,
    response: ServerResponse,
    from: number,
    isChat: boolean,
    model: string,
  ): Promise<void> {
    const { record } = run;
    const load = `${this.running}/${this.queue.length}/${this.options.width}`;
    if (this.isUnframed) removeFrame(response);
    response.writeHead(200, {
      "content-type": "text/event-stream",
      "x-run-id": record.runId,
      "x-load": load,
    });
    response.flushHeaders();
    let isClosed = false;
    response.on("close", () => {
      isClosed = true;
      notifyProgress(run);
    });
    let position = Math.max(from, record.start);
    while (!isClosed) {
      const limit = this.getFaultPosition(record);
      if (position >= limit && this.fault === EngineFault.CutStream) return void response.destroy();
      if (position >= limit && this.fault === EngineFault.NoEndMark) return void response.end();
      if (position < record.position) {
        const text = run.tokens[position - record.start] ?? "";
        this.writeFrame(
          response,
          record,
          position,
          formatChunk(record.runId, model, isChat, text, undefined),
        );
        position += 1;
      } else if (record.state === RunState.Finished) {
        const chunk = formatChunk(record.runId, model, isChat, "", "length", formatUsage(record));
        response.write(`id: ${record.attempt}:${position}\ndata: ${chunk}\n\ndata: [DONE]\n\n`);
        return void response.end();
      } else if (record.state === RunState.Cancelled || record.state === RunState.Interrupted) {
        return void response.destroy();
      } else {
        await waitForProgress(run);
      }
    }
  }

  /** Returns the position at which `CutStream` and `NoEndMark` take effect. */
  private getFaultPosition(record: RunRecord): number {
    return record.start + this.faultAfter;
  }

  private writeFrame(response: ServerResponse, record: RunRecord, position: number, chunk: string): void {
    if (this.fault === EngineFault.SkipToken && position === this.faultAfter) return;
    if (this.fault === EngineFault.Foreign)
      response.write(`id: ${record.attempt + 7}:${position}\ndata: ${chunk}\n\n`);
    const frame = `id: ${record.attempt}:${position}\ndata: ${chunk}\n\n`;
    response.write(frame);
    if (this.fault === EngineFault.Duplicate) response.write(frame);
  }
}

function parseBody(body: CompletionBody): ParsedPrompt {
  if (body.messages) return parseChat(body.messages, body.continue_final_message === true);
  // A continued text prompt ends with the text generated so far; the caller sends its number of tokens.
  const emitted = body.emitted_tokens ?? 0;
  const prompt = body.prompt ?? "";
  if (emitted === 0) return { prompt, emitted };
  const textStart = findTextStart(prompt, emitted);
  return { prompt: prompt.slice(0, textStart), emitted };
}

function findTextStart(prompt: string, emitted: number): number {
  let start = prompt.length - 1;
  for (let count = 0; count < emitted; count++) start = prompt.lastIndexOf(" ", start - 1);
  return start + 1;
}

function formatChunk(
  runId: string,
  model: string,
  isChat: boolean,
  text: string,
  finish: string | undefined,
  usage?: unknown,
): string {
  const finishReason = finish ?? null;
  const choice = isChat
    ? { index: 0, delta: { content: text }, finish_reason: finishReason }
    : { index: 0, text, finish_reason: finishReason };
  const object = isChat ? "chat.completion.chunk" : "text_completion";
  return JSON.stringify({ id: runId, object, created: 0, model, choices: [choice], usage });
}

function formatUsage(record: RunRecord): unknown {
  return {
    prompt_tokens: record.promptTokens,
    completion_tokens: record.position - record.start,
    total_tokens: record.promptTokens + record.position - record.start,
    prompt_tokens_details: { cached_tokens: record.cachedTokens },
  };
}

function getHeader(request: IncomingMessage, name: string): string {
  const value = request.headers[name];
  return typeof value === "string" ? value : "";
}

function notifyProgress(run: Run): void {
  const listeners = [...run.progressListeners];
  run.progressListeners.clear();
  listeners.forEach((notify) => notify());
}

function waitForProgress(run: Run): Promise<void> {
  return new Promise((resolve) => run.progressListeners.add(resolve));
}

function waitForClose(response: ServerResponse): Promise<void> {
  return new Promise((resolve) => response.on("close", resolve));
}
