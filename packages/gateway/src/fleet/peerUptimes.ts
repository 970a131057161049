/**
 * The uptimes that peers have told: a time on a peer's own clock that is certainly past.
 * @module
 */
import type { PeerIdentity } from "@gladewall/coordination";
import type { Clock } from "@gladewall/kernel";

/** What a peer has told of itself. */
export interface PeerUptime {
  readonly incarnation: number;
  /** Milliseconds since the peer's start, as of the message. */
  readonly uptime: number;
}

/** Time after which an uptime is no longer returned: three pings, and less than a link without messages lasts. */
const lifetimeMs = 2_500;

/** The last uptime of each peer. */
export class PeerUptimes {
  private readonly uptimes = new Map<string, PeerUptime & { readonly heardAt: number }>();

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): PeerUptimes {
    return new PeerUptimes(clock);
  }

  record({ name, incarnation }: PeerIdentity, uptime: number): void {
    this.uptimes.set(name, { incarnation, uptime, heardAt: this.clock.getTime() });
  }

  remove(name: string): void {
    this.uptimes.delete(name);
  }

  /** Returns the last uptime of a peer; undefined if none was heard recently. */
  find(name: string): PeerUptime | undefined {
    const heard = this.uptimes.get(name);
    return heard && this.clock.getTime() - heard.heardAt <= lifetimeMs ? heard : undefined;
  }
}
