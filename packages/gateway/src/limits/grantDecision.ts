/**
 * What an arbiter of a limit decides on a call for units.
 * @module
 */

/** An arbiter's decision. */
export enum GrantDecision {
  /** The total is granted and counted. */
  Granted = 1,
  /** The total is not counted, because the limit is exhausted. */
  Refused = 2,
  /** The receiver does not know enough of the sender or of the workspace to decide. */
  Unknown = 3,
}
