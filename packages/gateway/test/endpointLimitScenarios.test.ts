/*
 * Guards against an endpoint that gets more requests than the limit it advertises. The limit is shared by the fleet, but each
 * instance learns of it, and of the others' requests, at a different time. With a limit of one a second, nine instances that each
 * kept to it sent 35 requests in four seconds, and 320 instances sent 169, or 91 with equal shares. Therefore one issuer gives
 * out the permits for each incarnation; these simulations kill it, pause it, slow it down and disconnect it.
 */
import t from "tap";
import { type PermitScenario, runPermitScenario } from "./permitFleet.js";

const second = 1_000;
const standing: PermitScenario = {
  seed: 1,
  instances: 9,
  named: [{ from: 0, perSecond: 1 }],
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
    const named = [{ from: 0, perSecond }];
    const play = { ...standing, instances, named, offeredPerSecond: 40 * Math.max(1, perSecond) };
    const { maxShare: worst, admittedShare: givenOut, messagesPerSecond } = await runPermitScenario(play);
    const told = `${perSecond} a second, ${instances} instances: ${worst.toFixed(2)}, granted ${givenOut.toFixed(2)}, ${messagesPerSecond.toFixed(1)} messages a second`;
    t.ok(worst <= 1, told);
    if (perSecond >= 0.5) t.ok(givenOut >= 0.75, told);
  }
});

t.test("an issuer that is killed, paused, slow or disconnected lets no more requests through", async (t) => {
  const at = [6, 9, 9.6, 15].map((time) => time * second);
  const troubles: Readonly<Record<string, Partial<PermitScenario>>> = {
    killed: { issuerKills: at },
    paused: { issuerPauses: at.map((time) => ({ at: time, forMs: 2 * second })) },
    slow: { issuerSlow: [{ at: 5 * second, forMs: 15 * second }] },
    "cut off": { issuerCuts: [{ at: 5 * second, forMs: 15 * second }] },
    "all of these": {
      issuerKills: [at[0]!, at[3]!],
      issuerPauses: [{ at: 9 * second, forMs: 2 * second }],
      issuerSlow: [{ at: 8 * second, forMs: 4 * second }],
      issuerCuts: [{ at: 12 * second, forMs: 6 * second }],
    },
  };
  for (const [name, trouble] of Object.entries(troubles)) {
    for (const seed of seeds) {
      for (const [perSecond, instances] of [
        [1, 9],
        [5, 9],
        [20, 32],
      ] as const) {
        const base = { ...standing, seed, instances, named: [{ from: 0, perSecond }] };
        const play = { ...base, offeredPerSecond: 40 * perSecond, ...trouble };
        const { maxShare: worst, admittedShare: givenOut } = await runPermitScenario(play);
        const told = `${name}, seed ${seed}, ${perSecond} a second: ${worst.toFixed(2)}, given out ${givenOut.toFixed(2)}`;
        t.ok(worst <= 1, told);
      }
    }
  }
});

t.test(
  "changes and the end of a limit take effect, and waiting requests do not all return at once",
  async (t) => {
    for (const seed of seeds) {
      for (const instances of [9, 32]) {
        const named = [
          { from: 2 * second, perSecond: 20 },
          { from: 8 * second, perSecond: 2 },
          { from: 16 * second, perSecond: undefined },
        ];
        const play = { ...standing, seed, instances, named, offeredPerSecond: 200 };
        const { maxShare: worst, freedAfterMs } = await runPermitScenario(play);
        const told = `${instances} instances, seed ${seed}: ${worst.toFixed(2)}, unlimited after ${freedAfterMs} ms`;
        t.ok(worst <= 1, told);
        t.ok(freedAfterMs !== undefined, told);
      }
    }
  },
);

t.test("more urgent requests get permits first, the others what is left", async (t) => {
  const base = { ...standing, named: [{ from: 0, perSecond: 5 }], endsAt: 40 * second };
  const few = await runPermitScenario({ ...base, offeredPerSecond: 40, urgentShare: 0.05 });
  const many = await runPermitScenario({ ...base, offeredPerSecond: 40, urgentShare: 0.5 });
  const told = JSON.stringify({ few, many });
  t.ok(few.admittedShare >= 0.75 && few.urgentAdmittedShare >= 0.3, told);
  t.ok(many.urgentAdmittedShare >= 0.75 * many.admittedShare, told);
  t.ok(few.maxShare <= 1 && many.maxShare <= 1, told);
});

t.test(
  "in a fleet with older builds that don't know limits, permits come from the other instances",
  async (t) => {
    for (const oldBuilds of [1, 2, 3, 8]) {
      const { maxShare: worst, admittedShare: givenOut } = await runPermitScenario({
        ...standing,
        oldBuilds,
      });
      const told = `${oldBuilds} of 9: ${worst.toFixed(2)}, given out ${givenOut.toFixed(2)}`;
      t.ok(worst <= 1, told);
      t.ok(givenOut > 0, told);
    }
  },
);
