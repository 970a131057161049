/**
 * Exit codes of the daemons and the command line.
 * @module
 */

/** What the exit code of a process says. */
export enum ExitCode {
  Success = 0,
  Failed = 1,
  /** The settings or the command line are invalid; no port was opened. */
  InvalidSettings = 2,
  /** An address of the settings is taken, or does not belong to this machine. */
  AddressUnavailable = 3,
}
