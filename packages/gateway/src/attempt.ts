/**
 * One sending of a request to one endpoint, up to the head of its answer.
 *
 * What may have run is told apart by one fact: whether the connection was up. Before that no byte can have left.
 * @module
 */
import { type ClientRequest, type IncomingMessage, request } from "node:http";
import type { EndpointPool } from "./endpointConnections.js";
import { type ResponseHead, ExecutionStatus, type EndpointProtocol } from "./types.js";

/** How a sending ended. */
export enum AttemptOutcome {
  /** No byte was sent. */
  NotSent = 1,
  /** The endpoint says that it did not run the request. */
  NotRun = 2,
  /** Another endpoint has the address; nothing ran. */
  WrongEndpoint = 3,
  /** It was sent and no usable answer came: it may have run. */
  Lost = 4,
  /** An answer's head came. */
  Answered = 5,
}

/** What came of a sending; `response` is set where it was answered. */
export interface AttemptResult {
  readonly end: AttemptOutcome;
  readonly detail: string;
  readonly response: IncomingMessage | undefined;
}

/** What is sent. */
export interface AttemptOptions {
  readonly pool: EndpointPool;
  readonly protocol: EndpointProtocol;
  readonly requestId: string;
  readonly method: string;
  readonly target: string;
  /** Name, value, name, value, … */
  readonly headers: readonly string[];
  readonly body: Buffer;
  readonly connectTimeoutMs: number;
  /** Called with the head of the answer at once, also where nobody waits for the result any more. */
  readonly onHead: (head: ResponseHead, status: number) => void;
}

const outcomesByStatus: Readonly<Record<ExecutionStatus, AttemptOutcome>> = {
  [ExecutionStatus.Ran]: AttemptOutcome.Answered,
  [ExecutionStatus.NotRun]: AttemptOutcome.NotRun,
  [ExecutionStatus.WrongEndpoint]: AttemptOutcome.WrongEndpoint,
  [ExecutionStatus.Mismatched]: AttemptOutcome.Lost,
};

/** A sending under way. */
export class Attempt {
  /** Resolves with the answer's head, or when there will be none. Never rejects. */
  readonly result: Promise<AttemptResult>;
  private readonly sent: ClientRequest;
  private isConnected = false;
  private resolveResult: (result: AttemptResult) => void = () => undefined;

  private constructor(private readonly options: AttemptOptions) {
    this.result = new Promise((resolve) => (this.resolveResult = resolve));
    this.sent = this.send();
  }

  static create(options: AttemptOptions): Attempt {
    return new Attempt(options);
  }

  /** Whether bytes may have left. */
  get mayHaveRun(): boolean {
    return this.isConnected;
  }

  /** Gives up: closes the connection, so that the endpoint drops the request. */
  abort(detail: string): void {
    this.sent.destroy(new Error(detail));
  }

  private send(): ClientRequest {
    const { pool, method, target, headers, body } = this.options;
    const { host, port, agent } = pool;
    const sent = request({
      host,
      port,
      agent,
      method,
      path: target,
      headers: addContentLength(headers, method, body),
      setHost: false,
    });
    sent.on("socket", (socket) => {
      if (!socket.connecting) {
        this.isConnected = true;
        return;
      }
      const timer = setTimeout(() => this.abort("connect timeout"), this.options.connectTimeoutMs);
      socket.once("connect", () => (this.isConnected = true));
      socket.once("connect", () => clearTimeout(timer));
      socket.once("close", () => clearTimeout(timer));
    });
    sent.on("error", (error) => this.fail(error.message));
    sent.on("close", () => this.fail("closed"));
    sent.on("response", (response) => this.takeResponse(response));
    sent.end(body.length > 0 ? body : undefined);
    return sent;
  }

  private fail(detail: string): void {
    const end = this.isConnected ? AttemptOutcome.Lost : AttemptOutcome.NotSent;
    this.resolveResult({ end, detail, response: undefined });
  }

  private takeResponse(response: IncomingMessage): void {
    const { protocol, requestId, onHead } = this.options;
    const status = response.statusCode ?? 0;
    const head = protocol.readResponseHead(requestId, status, response.headers);
    const end = outcomesByStatus[head.executionStatus];
    onHead(head, status);
    // Errors of the body are seen by whoever reads it; an event without a listener would end the process.
    response.on("error", () => undefined);
    if (end === AttemptOutcome.Answered) {
      this.resolveResult({ end, detail: `status ${status}`, response });
      return;
    }
    if (end === AttemptOutcome.Lost) this.abort("foreign answer");
    else response.resume();
    this.resolveResult({ end, detail: `status ${status}`, response: undefined });
  }
}

function addContentLength(headers: readonly string[], method: string, body: Buffer): string[] {
  const isBodyExpected = method !== "GET" && method !== "HEAD";
  if (body.length === 0 && !isBodyExpected) return [...headers];
  return [...headers, "Content-Length", String(body.length)];
}
