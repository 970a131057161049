/**
 * The key-value service without a network, directly on a memory store, for unit tests. A test's script decides the
 * outcome of each call.
 * @module
 */
import type { GrantedLease, KeyValueService, StoredValue } from "@gladewall/coordination";
import { type Clock, Failure, FailureCode, waitFor } from "@gladewall/kernel";
import { Err, Ok, type Result } from "ts-results-es";
import { MemoryStore } from "./memoryStore.js";

/** Outcome of one call. */
export enum CallOutcome {
  Answered = 0,
  /** Fails without effect. */
  Refused = 1,
  /** Takes effect at once; the response is lost. */
  ResponseLost = 2,
  /** Reports a lost response, and takes effect later. */
  DelayedEffect = 3,
  /** Reports a lost response, and never takes effect. */
  RequestLost = 4,
}

/** Returns the outcome of the next call. */
export type CallOutcomeSource = () => CallOutcome;

const callTimeMs = 1;
const effectDelayMs = 40;

/** The service without a network. Each call takes one millisecond of the given clock. */
export class MemoryKeyValue implements KeyValueService {
  /** Decides the outcome of each call. */
  nextOutcome: CallOutcomeSource = () => CallOutcome.Answered;
  calls = 0;

  private constructor(
    private readonly clock: Clock,
    readonly store: MemoryStore,
  ) {}

  static create(clock: Clock, store = MemoryStore.create(clock)): MemoryKeyValue {
    return new MemoryKeyValue(clock, store);
  }

  async read(key: string): Promise<Result<StoredValue | undefined, Failure>> {
    const outcome = await this.startCall();
    if (outcome !== CallOutcome.Answered) return Err(createUnavailable());
    return Ok(this.get(key));
  }

  async watch(
    key: string,
    revision: number,
    wait: number,
  ): Promise<Result<StoredValue | undefined, Failure>> {
    const outcome = await this.startCall();
    if (outcome !== CallOutcome.Answered) return Err(createUnavailable());
    await this.store.waitForChange(key, revision, wait);
    return Ok(this.get(key));
  }

  async compareAndSwap(key: string, value: Uint8Array, expected: number): Promise<Result<number, Failure>> {
    const bytes = Uint8Array.from(value);
    const swap = (): Result<number, Failure> => {
      const revision = this.store.tryCompareAndSwap(key, bytes, expected);
      return revision === undefined
        ? Err(Failure.create(FailureCode.ServiceConflict, { key }))
        : Ok(revision);
    };
    return this.change(swap);
  }

  acquireLease(
    name: string,
    holder: string,
    ttl: number,
  ): Promise<Result<GrantedLease | undefined, Failure>> {
    return this.change(() => {
      const session = this.store.createSession(ttl);
      const fence = this.store.tryAcquireLock(name, Buffer.from(holder), session);
      if (fence !== undefined) return Ok({ session, fence });
      this.store.endSession(session);
      return Ok(undefined);
    });
  }

  renewLease(session: string): Promise<Result<void, Failure>> {
    const lost = Err(Failure.create(FailureCode.LeaseLost, { lease: session }));
    return this.change(() => (this.store.tryRenewSession(session) ? Ok.EMPTY : lost));
  }

  releaseLease(session: string): Promise<Result<void, Failure>> {
    return this.change(() => {
      this.store.endSession(session);
      return Ok.EMPTY;
    });
  }

  close(): Promise<void> {
    this.store.wakeAll();
    return Promise.resolve();
  }

  private get(key: string): StoredValue | undefined {
    const entry = this.store.get(key);
    return entry && { value: entry.value, revision: entry.revision };
  }

  private async startCall(): Promise<CallOutcome> {
    this.calls += 1;
    const outcome = this.nextOutcome();
    await waitFor(this.clock, callTimeMs);
    return outcome;
  }

  private async change<T>(effect: () => Result<T, Failure>): Promise<Result<T, Failure>> {
    const outcome = await this.startCall();
    return handlersByOutcome[outcome](effect, this.clock);
  }
}

type OutcomeHandler = <T>(effect: () => Result<T, Failure>, clock: Clock) => Result<T, Failure>;

const handlersByOutcome: Readonly<Record<CallOutcome, OutcomeHandler>> = {
  [CallOutcome.Answered]: (effect) => effect(),
  [CallOutcome.Refused]: () => Err(createUnavailable()),
  [CallOutcome.ResponseLost]: (effect) => {
    effect();
    return Err(Failure.create(FailureCode.ServiceAnswerLost));
  },
  [CallOutcome.DelayedEffect]: (effect, clock) => {
    clock.startTimer(effectDelayMs, () => effect());
    return Err(Failure.create(FailureCode.ServiceAnswerLost));
  },
  [CallOutcome.RequestLost]: () => Err(Failure.create(FailureCode.ServiceAnswerLost)),
};

function createUnavailable(): Failure {
  return Failure.create(FailureCode.ServiceUnavailable, { detail: "stand-in" });
}
