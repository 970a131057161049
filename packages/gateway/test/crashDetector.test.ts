import t from "tap";
import {
  CrashRecords,
  type CrashUpdate,
  CrashDetector,
  EndpointState,
  ProbeResult,
  TrialScheduler,
  TrialDecision,
  QuarantineState,
  LeavingSource,
} from "@gladewall/gateway";
import { Logger, VirtualClock } from "@gladewall/kernel";
import { createKnownEndpoint } from "./knownEndpoints.js";

const subject = { workspace: "w", fingerprint: "f" };
const request = { subject };
const logger = Logger.createSilent();
const drainMs = 2_000;

function createDetector(result: ProbeResult) {
  const clock = VirtualClock.create();
  const records = CrashRecords.create(clock);
  const endpoint = createKnownEndpoint({ id: "e" });
  const sent: CrashUpdate[] = [];
  const state = { probes: 0, troubleMs: Infinity, isListed: true };
  const detector = CrashDetector.create({
    clock,
    logger,
    records,
    probe: async () => {
      state.probes += 1;
      return result;
    },
    findEndpoint: () => (state.isListed ? endpoint : undefined),
    drainMs,
    getTimeSinceTrouble: () => state.troubleMs,
    broadcast: (update) => sent.push(update),
    countCrash: () => undefined,
  });
  return { clock, records, endpoint, sent, detector, state };
}

t.test(
  "an interrupted request and a refused connection together show that an endpoint has crashed",
  async (t) => {
    const { records, endpoint, sent, detector, state } = createDetector(ProbeResult.Refused);
    const beside = { subject: { workspace: "w", fingerprint: "beside" } };
    endpoint.inFlight.add(beside);
    const crashed = await Promise.all([
      detector.recordInterruption(endpoint, request),
      detector.recordInterruption(endpoint, request),
    ]);
    t.same(crashed, [true, true]);
    t.equal(state.probes, 1, "one probe serves both interruptions");
    t.same(sent, [{ reports: [{ life: "e", suspects: [], others: [subject, beside.subject] }] }]);
    t.ok(await detector.recordInterruption(endpoint, { subject: { workspace: "w", fingerprint: "late" } }));
    t.equal(state.probes, 1);
    t.equal(records.getQuarantineState({ workspace: "w", fingerprint: "late" }), QuarantineState.Suspect);
  },
);

t.test("one of the two signs alone is not enough", async (t) => {
  for (const result of [ProbeResult.Listening, ProbeResult.Unknown]) {
    const { clock, records, endpoint, detector, state } = createDetector(result);
    t.notOk(await detector.recordInterruption(endpoint, request));
    t.notOk(await detector.recordInterruption(endpoint, request));
    t.equal(
      state.probes,
      result === ProbeResult.Listening ? 1 : 2,
      "an endpoint that accepts connections is not probed twice in a row",
    );
    await clock.advance(200);
    t.notOk(await detector.recordInterruption(endpoint, request));
    t.equal(records.getQuarantineState(subject), QuarantineState.Clear);
  }
});

t.test("an endpoint that is leaving, or whose record is gone, stops as planned", async (t) => {
  for (const state of [EndpointState.Leaving, EndpointState.Unlisted]) {
    const { records, endpoint, detector } = createDetector(ProbeResult.Refused);
    endpoint.state = state;
    t.notOk(await detector.recordInterruption(endpoint, request));
    t.equal(records.getQuarantineState(subject), QuarantineState.Clear);
  }
});

t.test(
  "requests in flight at a crash that a peer has reported are reported as well, although the record is gone meanwhile",
  async (t) => {
    const { records, endpoint, sent, detector } = createDetector(ProbeResult.Refused);
    const peerSubject = { workspace: "w", fingerprint: "peer" };
    const crashed = detector.recordInterruption(endpoint, request);
    records.apply({ reports: [{ life: "e", suspects: [], others: [peerSubject] }] });
    endpoint.state = EndpointState.Unlisted;
    t.ok(await crashed);
    t.same(sent, [{ reports: [{ life: "e", suspects: [], others: [subject] }] }]);
    t.equal(records.getQuarantineState(subject), QuarantineState.Suspect);
  },
);

t.test(
  "requests in flight at an endpoint whose record is gone are reported once a peer reports its crash",
  async (t) => {
    const { records, endpoint, sent, detector } = createDetector(ProbeResult.Refused);
    const crashed = detector.recordInterruption(endpoint, request);
    endpoint.state = EndpointState.Unlisted;
    t.notOk(await crashed);
    t.same(sent, [], "it may have stopped as planned");
    const peerSubject = { workspace: "w", fingerprint: "peer" };
    const update = { reports: [{ life: "e", suspects: [], others: [peerSubject] }] };
    records.apply(update);
    detector.applyPeerReports(update);
    detector.applyPeerReports(update);
    t.same(sent, [{ reports: [{ life: "e", suspects: [], others: [subject] }] }]);
    t.equal(records.getQuarantineState(subject), QuarantineState.Suspect);
  },
);

t.test(
  "an endpoint that stops before its drain time has passed since its last usual response has crashed",
  async (t) => {
    const { clock, records, detector } = createDetector(ProbeResult.Refused);
    for (const id of ["e1", "e2", "e3"]) {
      const endpoint = createKnownEndpoint({ id });
      endpoint.servedAt = clock.getTime();
      endpoint.availability.recordLeaving(LeavingSource.Answer, clock.getTime());
      endpoint.state = EndpointState.Leaving;
      await clock.advance(100);
      t.ok(await detector.recordInterruption(endpoint, request));
    }
    t.equal(
      records.getQuarantineState(subject),
      QuarantineState.Convicted,
      "three endpoints crashed under it",
    );
  },
);

t.test(
  "an endpoint that stops a drain time after its notice does so as planned, as does one whose record is leaving",
  async (t) => {
    for (const source of [
      LeavingSource.Answer,
      LeavingSource.Peer,
      LeavingSource.Record,
      LeavingSource.Successor,
    ]) {
      const { clock, records, endpoint, detector } = createDetector(ProbeResult.Refused);
      endpoint.servedAt = clock.getTime();
      endpoint.availability.recordLeaving(source, clock.getTime());
      endpoint.state = EndpointState.Leaving;
      const isOfRecord = source === LeavingSource.Record || source === LeavingSource.Successor;
      await clock.advance(isOfRecord ? 100 : drainMs);
      t.notOk(await detector.recordInterruption(endpoint, request), LeavingSource[source]);
      t.equal(records.getQuarantineState(subject), QuarantineState.Clear);
    }
  },
);

t.test("a record that is still there refutes a crash, unless the store is failing", async (t) => {
  const { clock, records, endpoint, sent, detector, state } = createDetector(ProbeResult.Refused);
  await detector.recordInterruption(endpoint, request);
  await clock.advance(5_000);
  detector.refuteCrashes();
  t.equal(
    records.getQuarantineState(subject),
    QuarantineState.Suspect,
    "a record outlasts its endpoint for a while",
  );
  await clock.advance(2_000);
  state.troubleMs = 100;
  detector.refuteCrashes();
  t.equal(records.getQuarantineState(subject), QuarantineState.Suspect);
  state.troubleMs = Infinity;
  state.isListed = false;
  detector.refuteCrashes();
  t.equal(
    records.getQuarantineState(subject),
    QuarantineState.Suspect,
    "its record is gone, so the crash is not refuted",
  );
  state.isListed = true;
  detector.refuteCrashes();
  t.equal(records.getQuarantineState(subject), QuarantineState.Clear);
  t.same(sent.at(-1), { refuted: ["e"] });
});

function createScheduler(count: number) {
  const clock = VirtualClock.create();
  const records = CrashRecords.create(clock);
  const endpoints = Array.from({ length: count }, (_, index) => createKnownEndpoint({ id: `e${index}` }));
  const scheduler = TrialScheduler.create({
    clock,
    records,
    getEndpoints: () => endpoints,
    getPeerWork: () => ({ active: 0, pendingTokens: 0 }),
  });
  const requestTrial = (fingerprint: string, waitMs = 0, excluded: readonly string[] = []) =>
    scheduler.decideOrWait({ service: "web", subject: { workspace: "w", fingerprint }, excluded, waitMs });
  return { clock, records, endpoints, scheduler, requestTrial };
}

t.test(
  "no two isolated requests run at one endpoint, and half of the service stays free for others",
  async (t) => {
    const { clock, endpoints, scheduler, requestTrial } = createScheduler(6);
    endpoints[3]!.active = 5;
    endpoints[0]!.active = 1;
    const first = await Promise.all(["a", "b", "c", "d"].map((fingerprint) => requestTrial(fingerprint)));
    t.same(
      first.map(({ word: result }) => TrialDecision[result]),
      ["Granted", "Granted", "Granted", "Busy"],
    );
    t.same(
      first.map(({ life: incarnation }) => incarnation),
      ["e1", "e2", "e4", undefined],
      "the endpoints with the fewest open requests",
    );
    const waiting = requestTrial("d", 600);
    scheduler.end("e2", "x");
    scheduler.end("e2", "b");
    t.match(await waiting, { word: TrialDecision.Granted, life: "e2" });
    const late = requestTrial("e", 600);
    await clock.advance(600);
    t.equal((await late).word, TrialDecision.Busy);
    await clock.advance(2_000);
    t.equal(
      (await requestTrial("f")).word,
      TrialDecision.Granted,
      "a trial whose end is not reported expires",
    );
    scheduler.close();
  },
);

t.test(
  "crashed endpoints count as unavailable; the only endpoint of a service may be used for a trial",
  async (t) => {
    const { records, requestTrial, scheduler } = createScheduler(4);
    records.apply({ reports: [{ life: "e0", suspects: [], others: [] }] });
    t.equal((await requestTrial("a")).word, TrialDecision.Granted);
    t.equal((await requestTrial("b")).word, TrialDecision.Busy);
    scheduler.close();
    const single = createScheduler(1);
    t.match(await single.requestTrial("a"), { word: TrialDecision.Granted, life: "e0" });
    t.equal((await single.requestTrial("b")).word, TrialDecision.Busy);
    t.equal((await single.requestTrial("b", 0, ["e0"])).word, TrialDecision.Busy);
    single.scheduler.close();
  },
);
