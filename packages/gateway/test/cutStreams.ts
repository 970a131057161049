/**
 * Streams that are cut by their endpoints, at any byte and in any framing, and what a caller may be told of each.
 */
import {
  type CallResult,
  CallerEnd,
  type EndpointRequest,
  RawEnd,
  RawFraming,
  respondRaw,
  type ScriptedEndpoint,
} from "@gladewall/standins";

/** How one endpoint responds: the first `sentBytes` of what it has to send. */
export interface StreamCut {
  readonly framing: RawFraming;
  readonly sentBytes: number;
  readonly end: RawEnd;
}

/** A stream, and how the endpoints respond that are called one after the other; the last one sends all that is left. */
export interface CutStream {
  readonly id: string;
  readonly events: readonly string[];
  readonly isResumable: boolean;
  readonly cuts: readonly StreamCut[];
  readonly lastFraming: RawFraming;
}

/** Creates the events of a stream whose lines end in one way. */
export function createEvents(count: number, lineEnd: string): readonly string[] {
  return Array.from({ length: count }, (_, index) =>
    [`id: ${index + 1}`, `data: event ${index + 1}`, "", ""].join(lineEnd),
  );
}

/** What an endpoint says of the end of its response. */
enum Statement {
  Complete = 1,
  Nothing = 2,
  Broken = 3,
}

/** Plays cut streams at endpoints, and compares what their callers get with what the endpoints sent. */
export class CutStreamPlay {
  private readonly streams = new Map<string, CutStream>();
  /** Requests of each stream that arrived at endpoints. */
  private readonly arrivals = new Map<string, number>();
  /** What the endpoint last called said, by stream. */
  private readonly statements = new Map<string, Statement>();

  /** Streams of which an endpoint has sent an event. */
  private readonly begun = new Set<string>();

  private constructor() {}

  static create(endpoints: readonly ScriptedEndpoint[]): CutStreamPlay {
    const play = new CutStreamPlay();
    for (const endpoint of endpoints) endpoint.script = (call) => play.respond(call);
    return play;
  }

  add(stream: CutStream): void {
    this.streams.set(stream.id, stream);
  }

  /** Returns what is wrong with the response that a caller got; undefined if nothing is. */
  findFault({ id, events, isResumable }: CutStream, { status, body, end }: CallResult): string | undefined {
    const whole = events.join("");
    const statement = this.statements.get(id);
    if (!whole.startsWith(body) && status === 200) return "the body is no part of the stream";
    if (status === 200 && !isAtEventEnd(events, body)) return "the body ends inside an event";
    if (end === CallerEnd.Framed && status === 200 && statement !== Statement.Complete)
      return "told as complete, which no endpoint said";
    if (end === CallerEnd.Closed && statement === Statement.Broken) return "closed in order, but broken off";
    const isEmpty = statement === Statement.Nothing && !this.begun.has(id);
    if (status === 200 && isEmpty) return "served as an empty stream, which no endpoint said";
    if (isEmpty && !isResumable) return status === 502 ? undefined : "not shown as broken";
    if (statement !== Statement.Broken) return status === 200 ? undefined : "not served";
    if (isResumable) return "not continued";
    return end === CallerEnd.Broken || status === 502 ? undefined : "not shown as broken";
  }

  private respond(call: EndpointRequest): void {
    const { events, cuts, lastFraming } = this.streams.get(call.id)!;
    const arrivals = this.arrivals.get(call.id) ?? 0;
    this.arrivals.set(call.id, arrivals + 1);
    const after = Number(call.headers["last-event-id"] ?? 0);
    const left = events.slice(after);
    const body = left.join("");
    const all = { framing: lastFraming, sentBytes: body.length, end: RawEnd.FrameClosed };
    const cut = cuts[arrivals] ?? all;
    this.statements.set(call.id, getStatement(left, cut));
    if (cut.sentBytes >= (left[0]?.length ?? Infinity)) this.begun.add(call.id);
    respondRaw(call, { ...cut, body });
  }
}

function isAtEventEnd(events: readonly string[], text: string): boolean {
  let ends = 0;
  for (const event of events) {
    if (ends >= text.length) break;
    ends += event.length;
  }
  return ends === text.length;
}

function getStatement(events: readonly string[], { framing, sentBytes, end }: StreamCut): Statement {
  const body = events.join("");
  if (!isAtEventEnd(events, body.slice(0, sentBytes))) return Statement.Broken;
  // Once the whole length was sent, it doesn't matter how the connection ends.
  if (framing === RawFraming.Length && sentBytes >= body.length) return Statement.Complete;
  if (end === RawEnd.Reset) return Statement.Broken;
  if (framing === RawFraming.Unframed) return Statement.Nothing;
  return end === RawEnd.FrameClosed ? Statement.Complete : Statement.Broken;
}
