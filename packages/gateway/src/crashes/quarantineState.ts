/**
 * Whether and how a request may run that may crash endpoints.
 * @module
 */

/** Whether and how a request may run. Members are written to logs and metrics. */
export enum QuarantineState {
  /** No restriction. */
  Clear = 1,
  /** It was in flight at one crash; it runs while enough endpoints of the service are left. */
  Suspect = 2,
  /** It was in flight at two crashes; it runs only at an endpoint without another isolated request. */
  Isolated = 3,
  /** It is the only suspect of two crashes; it does not run during a cooldown, and runs isolated once more after it. */
  Resting = 4,
  /** It is blocked for good. */
  Convicted = 5,
}

/** Returns the state that allows less. */
export function getStricter(one: QuarantineState, other: QuarantineState): QuarantineState {
  return one > other ? one : other;
}
