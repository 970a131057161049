/*
 * Guards against estimates that a stale, absurd or false report could turn against callers: an endpoint that looks idle while this
 * instance keeps it full, a number of free slots that can't be, a pace that drives all requests to one endpoint.
 */
import * as fc from "fast-check";
import t from "tap";
import { CapacityReading, EndpointCapacity, type EndpointLoad, maxReportAgeMs } from "@gladewall/policy";

const runTimeMs = 57;
const slots = 6;

function createReport(report: Partial<EndpointLoad> = {}): EndpointLoad {
  return { running: 2, waiting: 0, slots, pacePercent: 100, ...report };
}

t.test("a report counts with the requests that were sent and ended since", async (t) => {
  const capacity = EndpointCapacity.create(4);
  t.match(capacity.estimate(0), { isReported: false, requests: 0, freeSlots: 4, pace: 1 });
  capacity.recordSent();
  t.match(capacity.estimate(0), { isReported: false, requests: 1, freeSlots: 3, pace: 1 });
  capacity.recordReport(createReport({ running: 3, pacePercent: 250 }), 10, runTimeMs);
  t.match(capacity.estimate(10), { isReported: true, requests: 3, freeSlots: 3, pace: 2.5 });
  capacity.recordSent();
  capacity.recordSent();
  capacity.recordEnded();
  t.match(capacity.estimate(10), { requests: 4, freeSlots: 2 });
  capacity.recordReport(createReport({ running: 6, waiting: 9 }), 20, runTimeMs);
  t.match(capacity.estimate(20), { requests: 15, freeSlots: 0 });
});

t.test("the pace is smoothed over a run time and returns to usual as the report ages", async (t) => {
  const capacity = EndpointCapacity.create(slots);
  capacity.recordReport(createReport(), 0, runTimeMs);
  for (let time = 1; time <= 5; time++)
    capacity.recordReport(createReport({ pacePercent: 250 }), time, runTimeMs);
  const early = capacity.getPace(5);
  t.ok(early > 1.05 && early < 1.25, `5 ms of slow reports give a pace of ${early}`);
  for (let time = 6; time <= 300; time++)
    capacity.recordReport(createReport({ pacePercent: 250 }), time, runTimeMs);
  const late = capacity.getPace(300);
  t.ok(late > 2.2 && late <= 2.5, `300 ms of slow reports give a pace of ${late}`);
  let previous = late;
  for (let age = 100; age <= maxReportAgeMs; age += 100) {
    const pace = capacity.getPace(300 + age);
    t.ok(pace < previous && pace >= 1);
    previous = pace;
  }
  t.ok(capacity.getPace(1_300) < 1.3, "a second later little is known of the pace");
  t.equal(capacity.getPace(301 + maxReportAgeMs), 1);
  t.notOk(capacity.hasPace(301 + maxReportAgeMs));
});

t.test("a stale report is ignored, and own requests count alone", async (t) => {
  const capacity = EndpointCapacity.create(slots);
  capacity.recordReport(createReport({ running: 6, waiting: 20 }), 0, runTimeMs);
  capacity.recordSent();
  t.match(capacity.estimate(maxReportAgeMs), { isReported: true, requests: 27 });
  t.match(capacity.estimate(maxReportAgeMs + 1), { isReported: false, requests: 1, freeSlots: 5, pace: 1 });
});

t.test("invalid reports and reports from before the last one change nothing", async (t) => {
  const capacity = EndpointCapacity.create(slots);
  capacity.recordReport(createReport({ pacePercent: 200 }), 100, runTimeMs);
  const before = { ...capacity.estimate(100) };
  const invalid: readonly Partial<EndpointLoad>[] = [
    { running: -1 },
    { running: NaN },
    { waiting: Infinity },
    { waiting: -3 },
    { slots: 0 },
    { slots: NaN },
    { slots: 1e9 },
    { pacePercent: 9 },
    { pacePercent: 10_001 },
    { pacePercent: NaN },
    { pacePercent: -100 },
  ];
  for (const report of invalid) {
    capacity.recordReport(createReport(report), 100, runTimeMs);
    t.same(capacity.estimate(100), before, JSON.stringify(report));
  }
  capacity.recordReport(createReport({ running: 5 }), 99, runTimeMs);
  capacity.recordReport(createReport({ running: 5 }), NaN, runTimeMs);
  t.same(capacity.estimate(100), before);
});

t.test("a report without a pace ends what was known of the pace", async (t) => {
  const capacity = EndpointCapacity.create(slots);
  capacity.recordReport(createReport({ pacePercent: 250 }), 0, runTimeMs);
  t.ok(capacity.hasPace(0));
  capacity.recordReport(createReport({ pacePercent: undefined }), 1, runTimeMs);
  t.notOk(capacity.hasPace(1));
  t.equal(capacity.getPace(1), 1);
  capacity.recordReport(createReport({ pacePercent: 150 }), 2, runTimeMs);
  t.equal(capacity.getPace(2), 1.5);
});

t.test("an endpoint that refused a request counts as full for one run time", async (t) => {
  const capacity = EndpointCapacity.create(slots);
  capacity.recordReport(createReport({ running: 0 }), 0, runTimeMs);
  capacity.recordRejected(10, runTimeMs);
  t.match(capacity.estimate(10), { requests: slots, freeSlots: 0 });
  t.ok(capacity.estimate(10 + runTimeMs - 1).freeSlots === 0);
  t.match(capacity.estimate(10 + runTimeMs), { requests: 0, freeSlots: slots });
  capacity.recordRejected(100, Infinity);
  t.equal(
    capacity.estimate(100 + maxReportAgeMs).freeSlots,
    slots,
    "an unknown run time does not close an endpoint for good",
  );
});

/** Any number, among them those that no report may contain. */
const anyCount = fc.oneof(
  fc.integer({ min: 0, max: 64 }),
  fc.double(),
  fc.constantFrom(NaN, -1, Infinity, 1e12),
);
const anyPace = fc.oneof(fc.constant(undefined), fc.integer({ min: 1, max: 20_000 }), fc.double());
const anyStep = fc.oneof(
  fc.constantFrom({ kind: "send" as const }, { kind: "end" as const }, { kind: "reject" as const }),
  fc.record({ kind: fc.constant("wait" as const), milliseconds: fc.integer({ min: 0, max: 3_000 }) }),
  fc.record({
    kind: fc.constant("report" as const),
    report: fc.record({ running: anyCount, waiting: anyCount, slots: anyCount, pacePercent: anyPace }),
  }),
);

t.test("no sequence of reports, requests and refusals gives an impossible estimate", async () => {
  fc.assert(
    fc.property(fc.array(anyStep, { maxLength: 60 }), (steps) => {
      const capacity = EndpointCapacity.create(slots);
      let time = 0;
      let open = 0;
      for (const step of steps) {
        if (step.kind === "wait") time += step.milliseconds;
        if (step.kind === "send") {
          capacity.recordSent();
          open += 1;
        }
        if (step.kind === "end" && open > 0) {
          capacity.recordEnded();
          open -= 1;
        }
        if (step.kind === "reject") capacity.recordRejected(time, runTimeMs);
        if (step.kind === "report") capacity.recordReport(step.report, time, runTimeMs);
        const reading = capacity.estimateInto(CapacityReading.create(), time);
        const { isReported, requests, freeSlots, pace, slots: most } = reading;
        const isPossible =
          requests >= open &&
          Number.isFinite(requests) &&
          freeSlots >= 0 &&
          freeSlots <= most &&
          pace >= 0.8 &&
          pace <= 10 &&
          (isReported || pace === 1);
        if (!isPossible) return false;
      }
      return true;
    }),
    { numRuns: 500 },
  );
});
