/**
 * What a simulation of an endpoint's limit is given, and what it returns.
 * @module
 */
/** A fault of some instances; times are milliseconds from the start. */
export interface FaultPeriod {
  readonly at: number;
  readonly forMs: number;
}

/** Parameters of a simulation. */
export interface PermitScenario {
  readonly seed: number;
  readonly instances: number;
  /** Limit that the endpoint advertises from a time on; undefined: none. */
  readonly advertised: readonly { readonly from: number; readonly perSecond: number | undefined }[];
  /** Requests a second that the whole fleet would send to the endpoint without a limit. */
  readonly offeredPerSecond: number;
  readonly endsAt: number;
  /** Times at which the issuer is killed; it starts again after `restartMs`. */
  readonly issuerKills?: readonly number[];
  /** Times at which all instances are killed at once; they start again after `restartMs`. */
  readonly fleetKills?: readonly number[];
  /** When the issuer is paused. */
  readonly issuerPauses?: readonly FaultPeriod[];
  /** When half of the other instances can't reach the issuer. */
  readonly issuerPartitions?: readonly FaultPeriod[];
  /** When the issuer's messages take `slowMs`. */
  readonly issuerSlow?: readonly FaultPeriod[];
  /** Number of instances of an older build that doesn't read limits. */
  readonly oldBuilds?: number;
  /** Share of requests that are more urgent than the others. */
  readonly urgentShare?: number;
}

/** Result of a simulation. */
export interface PermitResult {
  /** Most requests that arrived in a window, as a share of the tolerated number. */
  readonly maxShare: number;
  /** Arrivals under the last advertised limit, as a share of that limit. */
  readonly admittedShare: number;
  /** The same for the more urgent requests. */
  readonly urgentAdmittedShare: number;
  /** Messages a second of the busiest instance. */
  readonly messagesPerSecond: number;
  /** Milliseconds from the end of the last limit until every instance had learned of it; undefined if some had not. */
  readonly freedAfterMs: number | undefined;
  /** Number of times that limits were written to the store. */
  readonly storeWrites: number;
}

/** Returns the limit that the endpoint advertises at a time; undefined: none. */
export function findAdvertised({ advertised }: PermitScenario, time: number): number | undefined {
  return advertised.findLast(({ from }) => from <= time)?.perSecond;
}

/** Returns the first change after a time from which the endpoint advertises no limit. */
export function findEnd(
  { advertised }: PermitScenario,
  after: number,
): { readonly from: number } | undefined {
  return advertised.find(({ from, perSecond }) => from > after && perSecond === undefined);
}
