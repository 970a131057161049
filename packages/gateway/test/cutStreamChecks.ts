/**
 * Checks that whatever a caller is told as complete was sent to its end by one endpoint, or continued without a gap: for every byte at which
 * a stream can be cut, every framing, both ways in which a connection ends, resumable or not.
 * @module
 */
import { createRandom, PathFault, RawEnd, RawFraming } from "@gladewall/standins";
import type { Test } from "tap";
import { createEvents, type CutStream, CutStreamPlay } from "./cutStreams.js";
import { readMetric, resumablePath, startCutOffFleet, streamPath } from "./cutOffFleet.js";

const framings = [RawFraming.Length, RawFraming.Chunked, RawFraming.Unframed] as const;
const ends = [RawEnd.FrameClosed, RawEnd.Closed, RawEnd.Reset] as const;
const lineEnds = ["\n", "\r\n", "\r"] as const;
const concurrent = 16;
const manyRetries = ["retries.slack=100000"];

type Fleet = Awaited<ReturnType<typeof startCutOffFleet>>;

/** Sends a request for each stream, some at once; returns the faults that callers met. */
async function play(fleet: Fleet, streams: readonly CutStream[]): Promise<readonly string[]> {
  const cutStreams = CutStreamPlay.create(fleet.endpoints);
  const faults: string[] = [];
  const waiting = [...streams];
  const run = async (): Promise<void> => {
    for (let stream = waiting.shift(); stream; stream = waiting.shift()) {
      cutStreams.add(stream);
      const result = await fleet.call(0, stream.isResumable ? resumablePath : streamPath, stream.id);
      const fault = cutStreams.findFault(stream, result);
      if (fault !== undefined) faults.push(`${fault}: ${JSON.stringify({ stream, result })}`);
    }
  };
  await Promise.all(Array.from({ length: concurrent }, run));
  return faults;
}

/** Starts a fleet whose first instance reaches the endpoints directly, or through its peer only. */
async function startFleet(t: Test, isThroughPeer: boolean): Promise<Fleet> {
  const fleet = await startCutOffFleet(t, 2, 4, manyRetries);
  if (!isThroughPeer) return fleet;
  fleet.cut(0, PathFault.Reset);
  while ((await fleet.call(0)).status !== 200);
  while ((await readMetric(fleet.bench, 0, "gladewall_cut_off_services")) !== 1) await fleet.call(0);
  return fleet;
}

/** Cuts a stream at each byte. */
export async function checkEachByte(t: Test, isThroughPeer: boolean): Promise<void> {
  const fleet = await startFleet(t, isThroughPeer);
  const events = createEvents(3, "\n");
  const { length } = events.join("");
  const streams: CutStream[] = [];
  for (let sentBytes = 0; sentBytes <= length; sentBytes++)
    for (const framing of framings)
      for (const end of ends)
        for (const isResumable of [false, true]) {
          const id = `s${streams.length}`;
          const lastFraming = framings[streams.length % framings.length]!;
          streams.push({ id, events, isResumable, cuts: [{ framing, sentBytes, end }], lastFraming });
        }
  t.same(await play(fleet, streams), [], `${streams.length} streams`);
}

/** Cuts drawn streams several times. */
export async function checkDrawn(t: Test, isThroughPeer: boolean): Promise<void> {
  const fleet = await startFleet(t, isThroughPeer);
  const draw = createRandom(67);
  const pick = <T>(values: readonly T[]): T => values[Math.floor(draw() * values.length)]!;
  const drawStream = (index: number): CutStream => {
    const events = createEvents(1 + Math.floor(draw() * 5), pick(lineEnds));
    const { length } = events.join("");
    const drawCut = () => ({
      framing: pick(framings),
      sentBytes: Math.floor(draw() * (length + 1)),
      end: pick(ends),
    });
    const cuts = Array.from({ length: 1 + Math.floor(draw() * 2) }, drawCut);
    return { id: `d${index}`, events, isResumable: draw() < 0.7, cuts, lastFraming: pick(framings) };
  };
  const streams = Array.from({ length: 600 }, (_, index) => drawStream(index));
  t.same(await play(fleet, streams), []);
}
