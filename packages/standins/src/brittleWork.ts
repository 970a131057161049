/**
 * Work of an endpoint that runs a few requests at once, lets a few wait, and crashes if it has to refuse too many within a second.
 * An engine's work also needs memory: a prompt that does not fit waits, and those behind it wait with it.
 * @module
 */

/** Options of the work. */
export interface BrittleWorkOptions {
  readonly slots: number;
  /** Milliseconds that one request takes, unless it says how long. */
  readonly workMs: number;
  /** Tokens that the running requests hold together; undefined if requests need no memory. */
  readonly tokenCapacity?: number;
  /** Called when the endpoint crashes; everything that runs or waits is lost. */
  readonly onCrash: () => void;
}

/** What one request needs. */
export interface BrittleDemand {
  /** Milliseconds that it takes; those of the options if omitted. */
  readonly workMs?: number;
  /** Tokens that it holds while it runs; none if omitted. */
  readonly tokens?: number;
}

/** Responds to one request; `load` is what the endpoint reports: running, waiting, slots. */
export interface BrittleResponses {
  /** Called when the request begins to run; a stream sends its head. */
  readonly begin?: (load: string) => void;
  readonly succeed: (load: string) => void;
  readonly refuse: (load: string) => void;
}

interface BrittleRequest {
  readonly responses: BrittleResponses;
  readonly workMs: number;
  readonly tokens: number;
  /** Ends the run early; undefined while the request waits. */
  stop: (() => void) | undefined;
}

const windowMs = 1_000;

/** Work of one endpoint. */
export class BrittleWork {
  /** Refusals a second that it bears; undefined if there is no bound. */
  limit: number | undefined;
  /** Requests that may wait. */
  maxWaiting = Infinity;
  /** Requests that it has refused. */
  refusals = 0;
  private running = new Set<BrittleRequest>();
  private usedTokens = 0;
  private waiting: BrittleRequest[] = [];
  private refusedAt: number[] = [];

  private constructor(private readonly options: BrittleWorkOptions) {}

  static create(options: BrittleWorkOptions): BrittleWork {
    return new BrittleWork(options);
  }

  /** Runs a request, lets it wait, or refuses it. Returns a function that drops it, as when its connection is closed. */
  take(responses: BrittleResponses, demand: BrittleDemand = {}): () => void {
    const { workMs = this.options.workMs, tokens = 0 } = demand;
    const request: BrittleRequest = { responses, workMs, tokens, stop: undefined };
    const canEverRun = tokens <= this.tokenCapacity;
    if (this.waiting.length === 0 && this.hasRoom(request)) this.run(request);
    else if (canEverRun && this.waiting.length < this.maxWaiting) this.waiting.push(request);
    else this.refuse(request);
    return () => this.drop(request);
  }

  private get tokenCapacity(): number {
    return this.options.tokenCapacity ?? Infinity;
  }

  private get load(): string {
    return `${this.running.size},${this.waiting.length},${this.options.slots}`;
  }

  private hasRoom({ tokens }: BrittleRequest): boolean {
    return this.running.size < this.options.slots && this.usedTokens + tokens <= this.tokenCapacity;
  }

  private run(request: BrittleRequest): void {
    this.running.add(request);
    this.usedTokens += request.tokens;
    const timer = setTimeout(() => {
      this.end(request);
      request.responses.succeed(this.load);
      this.runNext();
    }, request.workMs);
    request.stop = () => clearTimeout(timer);
    request.responses.begin?.(this.load);
  }

  private end(request: BrittleRequest): void {
    if (this.running.delete(request)) this.usedTokens -= request.tokens;
  }

  private runNext(): void {
    for (let next = this.waiting[0]; next && this.hasRoom(next); next = this.waiting[0]) {
      this.waiting.shift();
      this.run(next);
    }
  }

  private drop(request: BrittleRequest): void {
    request.stop?.();
    this.end(request);
    this.waiting = this.waiting.filter((one) => one !== request);
    this.runNext();
  }

  private refuse({ responses }: BrittleRequest): void {
    this.refusals += 1;
    responses.refuse(this.load);
    const time = performance.now();
    this.refusedAt = [...this.refusedAt.filter((at) => at > time - windowMs), time];
    if (this.refusedAt.length > (this.limit ?? Infinity)) this.crash();
  }

  private crash(): void {
    for (const { stop } of this.running) stop?.();
    this.running.clear();
    this.usedTokens = 0;
    this.waiting = [];
    this.refusedAt = [];
    this.options.onCrash();
  }
}
