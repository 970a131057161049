/**
 * A request at an endpoint, as far as crashes are concerned.
 * @module
 */
import type { CrashSubject } from "./crashUpdates.js";

/** A request in flight at an endpoint. */
export interface InFlightRequest {
  /** Reading it computes a digest if none was needed before. */
  readonly subject: CrashSubject;
  /** Ids of the parts of its prompt that other requests may share: all but the last one. */
  readonly sharedParts?: readonly string[] | undefined;
  /** Those of them that were suspected when it was sent to the endpoint. */
  readonly suspectedParts?: readonly string[] | undefined;
  /** Those because of which it was sent there isolated from others. */
  readonly triedParts?: readonly string[] | undefined;
  /** Monotonic time of the first event of its stream from the endpoint; undefined before, and for other responses. */
  readonly firstEventAt?: number | undefined;
}
