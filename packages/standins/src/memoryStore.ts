/**
 * The state and rules of the key-value service, in memory: compare-and-swap, sessions with a time to live, and blocking
 * reads. The fake server adds HTTP; tests can also use it directly.
 * @module
 */
import type { Clock } from "@gladewall/kernel";

/** The entry of one key. */
export interface StoreEntry {
  readonly value: Uint8Array;
  readonly revision: number;
  /** Number of times that the key's lock was acquired. */
  readonly lockCount: number;
  /** Session that holds the lock; undefined if it is free. */
  readonly session: string | undefined;
}

/** A session with its time to live and its expiry, in milliseconds of the clock. */
interface Session {
  readonly ttl: number;
  expiresAt: number;
}

/** A blocked read of a key. */
interface Waiter {
  readonly key: string;
  readonly wake: () => void;
}

const empty = new Uint8Array(0);

/** The store, with the time of the given clock. */
export class MemoryStore {
  private readonly entries = new Map<string, StoreEntry>();
  private readonly sessions = new Map<string, Session>();
  private readonly waiters = new Set<Waiter>();
  private revision = 0;
  private sessionCount = 0;

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): MemoryStore {
    return new MemoryStore(clock);
  }

  /** Returns a key's entry; undefined if the key does not exist. */
  get(key: string): StoreEntry | undefined {
    this.expireSessions();
    return this.entries.get(key);
  }

  /**
   * Writes a key if its revision is `expected`, with 0 for a missing key. Returns the new revision; undefined on a
   * conflict.
   */
  tryCompareAndSwap(key: string, value: Uint8Array, expected: number): number | undefined {
    const present = this.get(key);
    if ((present?.revision ?? 0) !== expected) return undefined;
    this.put(key, { value, lockCount: present?.lockCount ?? 0, session: present?.session });
    return this.revision;
  }

  /** Creates a session that expires `ttl` milliseconds after its last renewal; returns its id. */
  createSession(ttl: number): string {
    const id = `session-${++this.sessionCount}`;
    this.sessions.set(id, { ttl, expiresAt: this.clock.getTime() + ttl });
    return id;
  }

  /** Renews a session; returns false if it has expired. */
  tryRenewSession(id: string): boolean {
    this.expireSessions();
    const session = this.sessions.get(id);
    if (!session) return false;
    session.expiresAt = this.clock.getTime() + session.ttl;
    return true;
  }

  /** Ends a session and releases its locks. */
  endSession(id: string): void {
    this.sessions.delete(id);
    for (const [key, entry] of this.entries) {
      if (entry.session === id) this.put(key, { ...entry, session: undefined });
    }
  }

  /** Acquires a key's lock for a session. Returns the lock count; undefined if another session holds the lock. */
  tryAcquireLock(key: string, value: Uint8Array, session: string): number | undefined {
    const present = this.get(key);
    if (!this.sessions.has(session)) return undefined;
    if (present?.session === session) return present.lockCount;
    if (present?.session !== undefined) return undefined;
    const lockCount = (present?.lockCount ?? 0) + 1;
    this.put(key, { value, lockCount, session });
    return lockCount;
  }

  /** Resolves when the key's revision exceeds `revision` or after `wait` milliseconds. */
  waitForChange(key: string, revision: number, wait: number): Promise<void> {
    if ((this.get(key)?.revision ?? 0) > revision) return Promise.resolve();
    return new Promise((resolve) => {
      const waiter = { key, wake: finish };
      const timer = this.clock.startTimer(wait, finish);
      const waiters = this.waiters;
      waiters.add(waiter);
      function finish(): void {
        timer.cancel();
        waiters.delete(waiter);
        resolve();
      }
    });
  }

  /** Ends all blocked reads at once, as a restart of the service does. */
  wakeAll(): void {
    for (const waiter of [...this.waiters]) waiter.wake();
  }

  private put(key: string, entry: Omit<StoreEntry, "revision">): void {
    this.revision += 1;
    this.entries.set(key, { ...entry, value: entry.value ?? empty, revision: this.revision });
    for (const waiter of [...this.waiters]) {
      if (waiter.key === key) waiter.wake();
    }
  }

  private expireSessions(): void {
    const now = this.clock.getTime();
    for (const [id, session] of this.sessions) {
      if (session.expiresAt <= now) this.endSession(id);
    }
  }
}
