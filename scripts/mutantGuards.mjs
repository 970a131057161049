// The guards that mutants remove, and the soak that must detect the absence of each. The texts of all guards are checked in CI, so that
// a guard which was moved or renamed is noticed without building its mutant.
import { readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { importTest } from "./playSeeds.mjs";

const root = fileURLToPath(new URL("..", import.meta.url));
const gateway = "packages/gateway/src/";
const { runResponseSoak } = await importTest("responseSoak");
const { runStoreSoak } = await importTest("storeSoak");
const { runPathSoak } = await importTest("pathSoak");
const { runRetrySoak } = await importTest("retrySoak");
const { KillVictims, runKillSoak } = await importTest("killSoak");
const { runVersionSoak } = await importTest("versionSoak");
const { runRejoinSoak } = await importTest("rejoinSoak");
const { RejoinRow } = await importTest("rejoinSoakTypes");
const { runPartSoak } = await importTest("partSoak");
const { runByteSoak } = await importTest("byteSoak");

/** Runs the soak of the retry budget, whose only violation is an exceeded budget. */
async function runBudgetSoak(options) {
  const { isExceeded, retries, allowed } = await runRetrySoak(options);
  return { violations: isExceeded ? [`${retries} retries, ${allowed.toFixed(0)} allowed`] : [] };
}

/** Crashes under one part of a prompt that are tolerated, and the least share of sound requests that are served meanwhile. */
const toleratedPartCrashes = 5;
const leastSoundShare = 0.8;

/** Runs the soak of parts of prompts that crash engines, without troubles of instances. */
async function runSoundPartSoak(options) {
  const play = {
    deadlyParts: 1,
    place: 1,
    requests: "safe",
    trouble: "none",
    deadlyFromMs: 0,
    ownCrashesPerSecond: 0,
  };
  const { crashes, sent, served } = await runPartSoak({
    ...options,
    ...play,
    hasWaves: false,
    isConcentrated: false,
  });
  const [count = 0] = Object.values(crashes);
  const tooMany = count > toleratedPartCrashes ? [`${count} crashes`] : [];
  const tooFew = served < sent * leastSoundShare ? [`${served} of ${sent} sound requests were served`] : [];
  return { violations: [...tooMany, ...tooFew] };
}

/** Runs the soak of versions that change while all instances are down. */
function runChangedWhileDownSoak(options) {
  return runRejoinSoak({ ...options, row: RejoinRow.ChangedWhileDown });
}

/** Runs the soak of a version that arrives while the store is dark, and is withdrawn after all instances were killed. */
function runUnrecordedSoak(options) {
  return runRejoinSoak({ ...options, row: RejoinRow.WithdrawnStoreDark });
}

/** Share of the take-ups that go on, of the share of new streams that begin, after half of the instances were killed. */
const leastTakeUpShare = 0.95;

/** Runs the soak of versions with half of the instances killed at a time; too few streams that go on count as a violation. */
async function runHalvedVersionSoak(options) {
  const { violations, begun, takenUp } = await runVersionSoak({ ...options, killedShare: 0.5 });
  const share = takenUp.served / takenUp.all / (begun.served / begun.all);
  const tooFew = share < leastTakeUpShare ? [`${takenUp.served} of ${takenUp.all} streams went on`] : [];
  return { violations: [...violations, ...tooFew] };
}

/** Length of a soak in which a route may move and all instances start again before its streams have ended. */
const routeChangesMs = 60_000;

/** Runs the soak of versions with a route that changes. */
function runRouteChangeSoak(options) {
  return runVersionSoak({ ...options, lengthMs: routeChangesMs, changesRoute: true });
}

/** Share of the resumable streams whose end is unverified that may reach their callers as cut. */
const mostUnconfirmedShare = 0.5;

/** Runs the soak of endpoints that are killed; too many unverified ends that nobody else was asked about count as a violation. */
async function runConfirmedKillSoak(options) {
  const { violations, unverified } = await runKillSoak(options);
  const tooMany =
    unverified.closed > unverified.all * mostUnconfirmedShare
      ? [`${unverified.closed} of ${unverified.all} streams closed where their endpoint had cut them`]
      : [];
  return { violations: [...violations, ...tooMany] };
}

/** Runs the soak of killed processes in which only instances are killed. */
function runInstanceKillSoak(options) {
  return runKillSoak({ ...options, victims: KillVictims.Instances });
}

/** Runs the soak of drawn bytes; a fault of the daemon itself is thrown by the fleet, and counts as a violation. */
async function runSpoilingSoak(options) {
  try {
    return await runByteSoak({ spoiltEvery: 10, spoilingEndpoints: 6, ...options, instances: 4 });
  } catch (error) {
    return { violations: [String(error)] };
  }
}

/** Runs it with bodies in chunks of one byte without end only. */
function runSmallChunkSoak(options) {
  return runSpoilingSoak({ ...options, spoiltEvery: 12, kind: "endlessSmallChunks" });
}

/** The guards: for each the soak, the source file, and pairs of a text in that file and its replacement without the guard. */
export const guards = [
  {
    name: "response-heads",
    runSoak: runSpoilingSoak,
    file: `${gateway}requests/attempt.ts`,
    edits: [
      ["const fault = findHeadFault(response);", "const fault = findHeadFault(response) && undefined;"],
    ],
  },
  {
    name: "discarded-bodies",
    runSoak: runSpoilingSoak,
    file: `${gateway}requests/attempt.ts`,
    edits: [["else discardBody(response, refusalBounds);", "else response.resume();"]],
  },
  {
    name: "held-bodies",
    runSoak: runSpoilingSoak,
    file: `${gateway}bodies/bodyReader.ts`,
    edits: [["if (this.heldCost > maxHeldBodyBytes) this.share.giveWay();", "this.share.close();"]],
  },
  {
    name: "paused-connections",
    runSoak: runSmallChunkSoak,
    file: `${gateway}bodies/readPause.ts`,
    edits: [["pausedMessages.set(socket, message);\n  socket.pause();", ""]],
  },
  {
    name: "once-only-requests",
    runSoak: runResponseSoak,
    file: `${gateway}requests/requestContext.ts`,
    edits: [
      ["return kind === RouteKind.Safe || (kind === RouteKind.Stream && isResumable);", "return true;"],
    ],
  },
  {
    name: "whose-answer",
    runSoak: runResponseSoak,
    file: "platform/src/headers.ts",
    edits: [["if (echoed !== undefined && echoed !== requestId) return ExecutionStatus.Mismatched;", ""]],
  },
  {
    name: "true-refusals",
    runSoak: runResponseSoak,
    file: `${gateway}requests/requestContext.ts`,
    edits: [["return this.history.runs + (isRunning ? 1 : 0);", "return 0;"]],
  },
  {
    name: "place-in-stream",
    runSoak: runResponseSoak,
    file: `${gateway}requests/attemptStage.ts`,
    edits: [["lastEventId: context.relay?.lastEventId,", "lastEventId: undefined,"]],
  },
  {
    name: "cancel",
    runSoak: runResponseSoak,
    file: `${gateway}requests/activeRequest.ts`,
    edits: [['context.attempt?.abort("caller gone");', ""]],
  },
  {
    name: "repeat-budget",
    runSoak: runResponseSoak,
    file: `${gateway}requests/permitStage.ts`,
    edits: [["const isTaken = isRetryTaken(decision);", "const isTaken = true;"]],
  },
  {
    name: "earned-retries",
    runSoak: runBudgetSoak,
    file: `${gateway}limits/retries/retryCredits.ts`,
    edits: [["if (this.getTotal(time) < 1 - epsilon) return false;", ""]],
  },
  {
    name: "part-of-slack",
    runSoak: runBudgetSoak,
    file: `${gateway}limits/retries/retryBudget.ts`,
    edits: [["slack / this.fleetSize.record(size, time)", "slack"]],
  },
  {
    name: "planned-stop",
    runSoak: runResponseSoak,
    file: `${gateway}gateway.ts`,
    edits: [["await this.finishRequests(leaving.endsAt);", ""]],
  },
  {
    name: "conditional-write",
    runSoak: runStoreSoak,
    file: `${gateway}leadership/fencedLeases.ts`,
    edits: [["{ key: name, revision: 0 },", ""]],
  },
  {
    name: "fence",
    runSoak: runStoreSoak,
    file: `${gateway}leadership/fencedLeases.ts`,
    edits: [["fence: current.offset + taken.value.revision", "fence: taken.value.revision"]],
  },
  {
    name: "version",
    runSoak: runStoreSoak,
    file: `${gateway}configuration/configurationInForce.ts`,
    edits: [
      ["if (version !== undefined && version < inForce) {", "if (version === Infinity) {"],
      ["} else if (decoded.value.version > inForce) {", "} else {"],
    ],
  },
  {
    name: "passing-on",
    runSoak: runPathSoak,
    file: `${gateway}forwarding/attemptRoute.ts`,
    edits: [
      ["forwarding.choose(endpoint.record.service)", "undefined as ReturnType<typeof forwarding.choose>"],
    ],
  },
  {
    name: "lost-on-the-way",
    runSoak: runPathSoak,
    file: `${gateway}requests/attempt.ts`,
    edits: [
      [
        "const outcome = this.isConnected ?",
        "const outcome = this.isConnected && !this.options.isForwarded ?",
      ],
    ],
  },
  {
    name: "part-reports",
    runSoak: runSoundPartSoak,
    file: `${gateway}crashes/crashDetector.ts`,
    edits: [
      ["if (beginning.length === 0) return undefined;", "if (beginning.length >= 0) return undefined;"],
    ],
  },
  {
    name: "part-trials",
    runSoak: runSoundPartSoak,
    file: `${gateway}crashes/parts/partRecords.ts`,
    edits: [["if (isResponsible || this.needsTrial(part)) held.push(part);", ""]],
  },
  {
    name: "part-evidence",
    runSoak: runSoundPartSoak,
    file: `${gateway}crashes/parts/partObserver.ts`,
    edits: [["if (clearances.length > 0) this.options.publish({ clearances });", ""]],
  },
  {
    name: "own-view",
    runSoak: runPathSoak,
    file: `${gateway}crashes/crashDetector.ts`,
    edits: [["(confirm === undefined || (await confirm(endpoint)))", "true"]],
  },
  {
    name: "inside-event",
    runSoak: runKillSoak,
    file: `${gateway}responses/responseEnd.ts`,
    edits: [
      ["connection === ConnectionEnd.Broken || unfinishedBytes > 0", "connection === ConnectionEnd.Broken"],
    ],
  },
  {
    name: "framing-at-endpoint",
    runSoak: runKillSoak,
    file: `${gateway}responses/responseWriter.ts`,
    edits: [
      ["if (isUnframed) response.useChunkedEncodingByDefault = false;", ""],
      [
        "return framing === BodyFraming.Connection ? undefined : String(bytes.length);",
        "return String(bytes.length);",
      ],
    ],
  },
  {
    name: "framing-through-peer",
    runSoak: runKillSoak,
    file: `${gateway}forwarding/forwardingProtocol.ts`,
    edits: [
      ["if (framing !== undefined) return framing;", ""],
      ["framingOfPeer === BodyFraming.Chunked ? BodyFraming.Connection : framingOfPeer", "framingOfPeer"],
    ],
  },
  {
    name: "confirmed-end",
    runSoak: runConfirmedKillSoak,
    file: `${gateway}responses/streamRelay.ts`,
    edits: [["(this.isUnconfirmed || !this.canContinue())", "true"]],
  },
  {
    name: "open-comment",
    runSoak: runInstanceKillSoak,
    file: `${gateway}responses/openComment.ts`,
    edits: [
      ["...(endsInside ? [] : [begin])", ""],
      ["this.isOpen = !endsInside;", "this.isOpen = false;"],
    ],
  },
  {
    name: "event-not-after-the-last",
    runSoak: runKillSoak,
    file: `${gateway}responses/eventSplitter.ts`,
    edits: [["return areNumbers ? Number(id) > Number(other) : id !== other;", "return areNumbers || true;"]],
  },
  {
    name: "origin-of-take-up",
    runSoak: runHalvedVersionSoak,
    file: `${gateway}requests/requestContext.ts`,
    edits: [["this.origin = origin;", "this.origin = undefined; void origin;"]],
  },
  {
    name: "version-inside-answer",
    runSoak: runHalvedVersionSoak,
    file: `${gateway}responses/relayStage.ts`,
    edits: [
      ["const begunAt = isBegun(context.origin) ? context.origin : origin;", "const begunAt = origin;"],
      ["context.origin = begunAt;", ""],
    ],
  },
  {
    name: "version-at-placement",
    runSoak: runHalvedVersionSoak,
    file: `${gateway}placement/placer.ts`,
    edits: [["if (!mayServe(origin, endpoint)) continue;", ""]],
  },
  {
    name: "origin-told",
    runSoak: runHalvedVersionSoak,
    file: `${gateway}origins/originRecorder.ts`,
    edits: [
      ["gossip.announce(key, code);", "void gossip;"],
      ["return keeper.keep(key, code);", "void keeper; return undefined;"],
    ],
  },
  {
    name: "unknown-origin-refused",
    runSoak: runVersionSoak,
    file: `${gateway}origins/takeUps.ts`,
    edits: [
      ["if (!origin || others.length > 0) return undefined;", "if (!origin) return undefined; void others;"],
      [
        "return isCertain && !isElsewhere ? origin : undefined;",
        "void isCertain, isElsewhere; return origin;",
      ],
    ],
  },
  {
    name: "routes-in-records",
    runSoak: runRouteChangeSoak,
    file: `${gateway}origins/originParts.ts`,
    edits: [["listRoutes: (service) => routes.listRoutesOf(service),", "listRoutes: () => [],"]],
  },
  {
    name: "versions-of-the-past",
    runSoak: runChangedWhileDownSoak,
    file: `${gateway}origins/versionHistory.ts`,
    edits: [
      [
        "if (goneAt !== undefined && goneAt < oldestAt && !isRecorded) versions.delete(code);",
        "if (goneAt !== undefined) versions.delete(code);",
      ],
    ],
  },
  {
    name: "begin-at-recorded-versions",
    runSoak: runUnrecordedSoak,
    file: `${gateway}origins/streamOrigin.ts`,
    edits: [
      ["isSameOrigin(required, record) : required.mayBegin(record)", "isSameOrigin(required, record) : true"],
    ],
  },
];

/** Returns the source of a guard's file without the guard; fails if the file does not contain each text exactly once. */
export function removeGuard({ file, edits }) {
  let contents = readFileSync(`${root}${file}`, "utf8");
  for (const [from, to] of edits) {
    if (contents.split(from).length !== 2) throw new Error(`${file} does not contain exactly once: ${from}`);
    contents = contents.replace(from, to);
  }
  return contents;
}
