/**
 * Patience with the tries of each service, learned from its answers.
 * @module
 */
import { Patience } from "@gladewall/policy";

/** One patience a service, made when it is first asked for. */
export class ServiceTimes {
  private readonly patiences = new Map<string, Patience>();

  private constructor() {}

  static create(): ServiceTimes {
    return new ServiceTimes();
  }

  /** Takes note of a try that gave its first event, or its whole answer, so long after it was sent. */
  noteFirst(service: string, expectedMs: number, elapsedMs: number): void {
    this.of(service).note(expectedMs, elapsedMs);
  }

  /** Returns the milliseconds after which a try that is expected to take so long has been silent for too long. */
  getPatience(service: string, expectedMs: number): number {
    return this.of(service).get(expectedMs);
  }

  private of(service: string): Patience {
    let patience = this.patiences.get(service);
    if (!patience) {
      patience = Patience.create();
      this.patiences.set(service, patience);
    }
    return patience;
  }
}
