/*
 * Guards against an endpoint that gets more requests than the limit it advertises. The limit is shared by the fleet, but each
 * instance learns of it, and of the others' requests, at a different time. With a limit of one a second, nine instances that each
 * kept to it sent 35 requests in four seconds, and 320 instances sent 169, or 91 with equal shares. Therefore one issuer grants
 * the permits for each incarnation; these simulations kill it, pause it, slow it down and disconnect it.
 */
import t from "tap";
import { runPermitScenario } from "./permitFleet.js";
import type { PermitScenario } from "./permitScenario.js";

const second = 1_000;
const baseline: PermitScenario = {
  seed: 1,
  instances: 9,
  advertised: [{ from: 0, perSecond: 1 }],
  offeredPerSecond: 40,
  endsAt: 24 * second,
};
const seeds = [1, 2, 3];

t.test("an endpoint gets no more requests than it accepts, however many instances want more", async (t) => {
  for (const [perSecond, instances] of [
    [1, 1],
    [0, 9],
    [0.2, 9],
    [0.5, 9],
    [1, 9],
    [1, 32],
    [1, 320],
    [5, 9],
    [20, 32],
    [20, 320],
    [200, 9],
  ] as const) {
    const advertised = [{ from: 0, perSecond }];
    const scenario = { ...baseline, instances, advertised, offeredPerSecond: 40 * Math.max(1, perSecond) };
    const { maxShare, admittedShare, messagesPerSecond } = await runPermitScenario(scenario);
    const summary = `${perSecond} a second, ${instances} instances: ${maxShare.toFixed(2)}, granted ${admittedShare.toFixed(2)}, ${messagesPerSecond.toFixed(1)} messages a second`;
    t.ok(maxShare <= 1, summary);
    if (perSecond >= 0.5) t.ok(admittedShare >= 0.75, summary);
  }
});

t.test("an issuer that is killed, paused, slow or disconnected lets no more requests through", async (t) => {
  const at = [6, 9, 9.6, 15].map((time) => time * second);
  const faultsByName: Readonly<Record<string, Partial<PermitScenario>>> = {
    killed: { issuerKills: at },
    paused: { issuerPauses: at.map((time) => ({ at: time, forMs: 2 * second })) },
    slow: { issuerSlow: [{ at: 5 * second, forMs: 15 * second }] },
    "network partition": { issuerPartitions: [{ at: 5 * second, forMs: 15 * second }] },
    "all of these": {
      issuerKills: [at[0]!, at[3]!],
      issuerPauses: [{ at: 9 * second, forMs: 2 * second }],
      issuerSlow: [{ at: 8 * second, forMs: 4 * second }],
      issuerPartitions: [{ at: 12 * second, forMs: 6 * second }],
    },
  };
  for (const [name, faults] of Object.entries(faultsByName)) {
    for (const seed of seeds) {
      for (const [perSecond, instances] of [
        [1, 9],
        [5, 9],
        [20, 32],
      ] as const) {
        const base = { ...baseline, seed, instances, advertised: [{ from: 0, perSecond }] };
        const scenario = { ...base, offeredPerSecond: 40 * perSecond, ...faults };
        const { maxShare, admittedShare } = await runPermitScenario(scenario);
        const summary = `${name}, seed ${seed}, ${perSecond} a second: ${maxShare.toFixed(2)}, granted ${admittedShare.toFixed(2)}`;
        t.ok(maxShare <= 1, summary);
      }
    }
  }
});

t.test(
  "changes and the end of a limit take effect, and waiting requests do not all return at once",
  async (t) => {
    for (const seed of seeds) {
      for (const instances of [9, 32]) {
        const advertised = [
          { from: 2 * second, perSecond: 20 },
          { from: 8 * second, perSecond: 2 },
          { from: 16 * second, perSecond: undefined },
        ];
        const scenario = { ...baseline, seed, instances, advertised, offeredPerSecond: 200 };
        const { maxShare, freedAfterMs } = await runPermitScenario(scenario);
        const summary = `${instances} instances, seed ${seed}: ${maxShare.toFixed(2)}, unlimited after ${freedAfterMs} ms`;
        t.ok(maxShare <= 1, summary);
        t.ok(freedAfterMs !== undefined, summary);
      }
    }
  },
);

t.test("more urgent requests get permits first, the others what is left", async (t) => {
  const base = { ...baseline, advertised: [{ from: 0, perSecond: 5 }], endsAt: 40 * second };
  const few = await runPermitScenario({ ...base, offeredPerSecond: 40, urgentShare: 0.05 });
  const many = await runPermitScenario({ ...base, offeredPerSecond: 40, urgentShare: 0.5 });
  const summary = JSON.stringify({ few, many });
  t.ok(few.admittedShare >= 0.75 && few.urgentAdmittedShare >= 0.3, summary);
  t.ok(many.urgentAdmittedShare >= 0.75 * many.admittedShare, summary);
  t.ok(few.maxShare <= 1 && many.maxShare <= 1, summary);
});

t.test(
  "in a fleet with older builds that don't know limits, permits come from the other instances",
  async (t) => {
    for (const oldBuilds of [1, 2, 3, 8]) {
      const { maxShare, admittedShare } = await runPermitScenario({
        ...baseline,
        oldBuilds,
      });
      const summary = `${oldBuilds} of 9: ${maxShare.toFixed(2)}, granted ${admittedShare.toFixed(2)}`;
      t.ok(maxShare <= 1, summary);
      t.ok(admittedShare > 0, summary);
    }
  },
);
