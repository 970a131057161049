/**
 * The current `[overload] mode` setting, which a reload of the settings may change.
 * @module
 */
import type { GatewaySettings } from "./gatewaySettings.js";

/** Value of the setting: `off`, `observe` (decide and log, do not act) or `on`. */
export type OverloadModeValue = GatewaySettings["overload"]["mode"];

/** Holds the mode for all parts that it applies to. */
export class OverloadMode {
  private constructor(private mode: OverloadModeValue) {}

  static create(mode: OverloadModeValue): OverloadMode {
    return new OverloadMode(mode);
  }

  get(): OverloadModeValue {
    return this.mode;
  }

  set(mode: OverloadModeValue): void {
    this.mode = mode;
  }
}
