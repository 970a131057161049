/**
 * The key-value service's rules in memory: compare-and-swap, sessions with time to live, and waiting reads.
 * The stand-in server puts HTTP before it, tests may use it directly.
 * @module
 */
import type { Clock } from "@gladewall/kernel";

/** One key as the store holds it. */
export interface StoreEntry {
  readonly value: Uint8Array;
  readonly revision: number;
  /** Counts how often the key's lock changed hands. */
  readonly lockCount: number;
  /** Session that holds the lock, if one does. */
  readonly session: string | undefined;
}

interface Session {
  readonly ttl: number;
  expiresAt: number;
}

interface Waiter {
  readonly key: string;
  readonly wake: () => void;
}

const empty = new Uint8Array(0);

/** The store itself. Time comes from the clock it is given. */
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

  /** Returns a key's entry, undefined where there is none. */
  get(key: string): StoreEntry | undefined {
    this.expireSessions();
    return this.entries.get(key);
  }

  /** Writes if the revision is still `expected`; returns the new revision, undefined on a conflict. */
  tryCompareAndSwap(key: string, value: Uint8Array, expected: number): number | undefined {
    const present = this.get(key);
    if ((present?.revision ?? 0) !== expected) return undefined;
    this.put(key, { value, lockCount: present?.lockCount ?? 0, session: present?.session });
    return this.revision;
  }

  /** Opens a session that lapses `ttl` milliseconds after its last renewal. */
  createSession(ttl: number): string {
    const id = `session-${++this.sessionCount}`;
    this.sessions.set(id, { ttl, expiresAt: this.clock.getTime() + ttl });
    return id;
  }

  /** Renews a session; false where it has lapsed. */
  tryRenewSession(id: string): boolean {
    this.expireSessions();
    const session = this.sessions.get(id);
    if (!session) return false;
    session.expiresAt = this.clock.getTime() + session.ttl;
    return true;
  }

  /** Ends a session and frees its locks. */
  endSession(id: string): void {
    this.sessions.delete(id);
    for (const [key, entry] of this.entries) {
      if (entry.session === id) this.put(key, { ...entry, session: undefined });
    }
  }

  /** Takes a key's lock for a session; returns the lock count, undefined where another holds it. */
  tryAcquireLock(key: string, value: Uint8Array, session: string): number | undefined {
    const present = this.get(key);
    if (!this.sessions.has(session)) return undefined;
    if (present?.session === session) return present.lockCount;
    if (present?.session !== undefined) return undefined;
    const lockCount = (present?.lockCount ?? 0) + 1;
    this.put(key, { value, lockCount, session });
    return lockCount;
  }

  /** Resolves when the key's revision is above `revision` or the time is over. */
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

  /** Ends every waiting read at once, as a restart of the service does. */
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
