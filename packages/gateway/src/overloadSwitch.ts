/**
 * The mode of the decisions on short capacity. It may change while the instance runs.
 * @module
 */

/** Whether these decisions are not made, only made and logged, or in effect. */
export enum OverloadMode {
  Off = 1,
  Observe = 2,
  On = 3,
}

const modes: Readonly<Record<string, OverloadMode>> = {
  off: OverloadMode.Off,
  observe: OverloadMode.Observe,
  on: OverloadMode.On,
};

/** Holds the present mode. */
export class OverloadSwitch {
  private current: OverloadMode;

  private constructor(text: string) {
    this.current = parseMode(text);
  }

  /** Creates a switch with the mode that a settings file names. */
  static create(text: string): OverloadSwitch {
    return new OverloadSwitch(text);
  }

  get mode(): OverloadMode {
    return this.current;
  }

  /** Applies the mode of settings that were read again. */
  setMode(text: string): void {
    this.current = parseMode(text);
  }
}

/** The settings allow no other texts. */
function parseMode(text: string): OverloadMode {
  return modes[text] ?? OverloadMode.On;
}
