/**
 * Plays of the simulated fleet with drawn troubles.
 * @module
 */
import { OriginFleet, type OriginFleetOptions } from "./originFleet.js";
import { createSpreadRandom } from "./stepClock.js";

const streamIntervalMs = 12;

/** What befalls a fleet, drawn at each interval. */
export interface Troubles {
  /** Share of the instances that are killed at once. */
  readonly killedShares: readonly number[];
  readonly hasPauses?: boolean;
  readonly hasCuts?: boolean;
}

/** Plays drawn troubles; streams begin for `lengthMs`, and all are over at the end. */
export async function playTroubles(
  options: OriginFleetOptions,
  lengthMs: number,
  troubles: Troubles,
): Promise<OriginFleet> {
  const fleet = new OriginFleet(options);
  const random = createSpreadRandom(options.seed + 1_000);
  const { clock } = fleet;
  await clock.advance(500);
  const begin = (): void => {
    fleet.callers.begin();
    clock.startTimer(random() * 2 * streamIntervalMs, begin);
  };
  const drawIndex = (): number => Math.floor(random() * options.instances);
  const trouble = (): void => {
    const { killedShares, hasPauses, hasCuts } = troubles;
    const share = killedShares[Math.floor(random() * killedShares.length)]!;
    const order = Array.from({ length: options.instances }, (_, index) => ({ index, at: random() }));
    order.sort((one, other) => one.at - other.at);
    for (const { index } of order.slice(0, Math.ceil(options.instances * share))) fleet.kill(index);
    if (hasPauses && random() < 0.5) fleet.pause(drawIndex(), 300 + random() * 1_500);
    if (hasCuts && random() < 0.5) fleet.cutOff(drawIndex(), 300 + random() * 2_000);
    if (random() < 0.7) {
      fleet.endpoints.killAny();
      fleet.endpoints.start();
    }
    clock.startTimer(400 + random() * 1_600, trouble);
  };
  begin();
  trouble();
  await clock.advance(lengthMs);
  fleet.callers.isOpen = false;
  await clock.advance(8_000);
  return fleet;
}
