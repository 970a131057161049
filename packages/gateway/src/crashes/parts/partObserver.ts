/**
 * Looks for what this instance knows for parts of prompts that are suspected: requests with them that came back whole, and streams
 * that go on. Announces it to all instances, and reaches the verdict on parts that nobody speaks for.
 * @module
 */
import type { Clock, Logger } from "@gladewall/kernel";
import type { Endpoint } from "../../endpoints/endpoint.js";
import type { InFlightRequest } from "../inFlightRequest.js";
import type { CrashRecords } from "../crashRecords.js";
import { type PartClearance, PartEvidence, type PartUpdate } from "./partUpdates.js";
import { verdictDelayMs } from "./partRecords.js";
import type { SuspectPart } from "./suspectPart.js";

/** Options of the observer. */
export interface PartObserverOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly records: CrashRecords;
  readonly getEndpoints: (service: string) => readonly Endpoint[];
  /** Applies an update here and sends it to all instances. */
  readonly publish: (update: PartUpdate) => void;
  /** Whether this instance receives the reports of the whole fleet; only then it reaches verdicts. */
  readonly isCollector: () => boolean;
  /** Returns Unix milliseconds. */
  readonly getTimeOfDay: () => number;
}

/** Time from the first event after which a stream has outlasted a crash, which comes 40 to 120 ms after a run begins. */
const outlastedMs = 200;
/** The same for streams that began after a crash: longer, as it makes the crash count for less. */
const survivedMs = 500;
const verdictMarginMs = 10;

/** Evidence of one instance about suspected parts. */
export class PartObserver {
  private constructor(private readonly options: PartObserverOptions) {}

  static create(options: PartObserverOptions): PartObserver {
    return new PartObserver(options);
  }

  /** Handles news about crashes: looks for evidence at once, and for a verdict when all instances have had time to do so. */
  handleCrash(): void {
    this.observe();
    this.options.clock.startTimer(verdictDelayMs + verdictMarginMs, () => this.reachVerdicts());
  }

  /** Looks for evidence among the requests in flight, and for verdicts that are due; called several times a second. */
  review(): void {
    this.options.records.parts.expire();
    this.observe();
    this.reachVerdicts();
  }

  /** Records that the complete response to a request was received, whose answer began at the given time at the earliest. */
  recordWhole(service: string, ids: readonly string[], beganAt: number): void {
    const { records } = this.options;
    if (!records.parts.hasSuspects(service)) return;
    const clearances: PartClearance[] = [];
    for (const id of new Set(ids)) {
      const part = records.parts.find({ service, part: id });
      if (!part) continue;
      const lives = part.getUncleared().filter((life) => part.crashes.get(life)!.at < beganAt);
      if (lives.length > 0) clearances.push({ service, parts: [id], evidence: PartEvidence.Whole, lives });
      else if (!part.hasRun) clearances.push(createRanBefore(part));
    }
    this.publish(clearances);
  }

  private observe(): void {
    const running = new Map<string, readonly InFlightRequest[]>();
    const clearances: PartClearance[] = [];
    for (const part of this.options.records.parts.getActive()) {
      const { service } = part.name;
      const ofService = running.get(service) ?? this.getRunning(service);
      running.set(service, ofService);
      clearances.push(...this.findClearances(part, ofService));
    }
    this.publish(clearances);
  }

  private publish(clearances: readonly PartClearance[]): void {
    if (clearances.length > 0) this.options.publish({ clearances });
  }

  private findClearances(part: SuspectPart, running: readonly InFlightRequest[]): readonly PartClearance[] {
    const { clock } = this.options;
    const time = clock.getTime();
    const began = running
      .filter(({ sharedParts }) => sharedParts?.includes(part.name.part) === true)
      .map(({ firstEventAt = Infinity }) => firstEventAt)
      .filter((at) => time - at >= outlastedMs);
    if (began.length === 0) return [];
    const survivedFrom = Math.max(-Infinity, ...began.filter((at) => time - at >= survivedMs));
    const lives = part.getOpen().filter((life) => part.crashes.get(life)!.at < survivedFrom);
    const { service, part: id } = part.name;
    if (lives.length > 0) return [{ service, parts: [id], evidence: PartEvidence.Survived, lives }];
    return part.hasRun ? [] : [createRanBefore(part)];
  }

  /** Requests of this instance that run at endpoints of a service which have not crashed. */
  private getRunning(service: string): readonly InFlightRequest[] {
    const { records, getEndpoints } = this.options;
    return getEndpoints(service)
      .filter(({ inFlight, incarnation }) => inFlight.size > 0 && !records.hasCrashed(incarnation))
      .flatMap(({ inFlight }) => [...inFlight]);
  }

  private reachVerdicts(): void {
    const { records, logger, publish, isCollector, getTimeOfDay } = this.options;
    if (!isCollector()) return;
    const findings = records.parts.findDue(getTimeOfDay());
    if (findings.length === 0) return;
    publish({ findings });
    for (const { service, part, companions, workspaces, crashes } of findings) {
      logger.info("part.convicted", {
        service,
        part,
        companions: companions.join(),
        workspaces: workspaces.join(),
        lives: crashes.map(({ life }) => life).join(),
      });
    }
  }
}

function createRanBefore({ name }: SuspectPart): PartClearance {
  return { service: name.service, parts: [name.part], evidence: PartEvidence.RanBefore, lives: [] };
}
