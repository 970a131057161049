import t, { type Test } from "tap";
import { MemberRecords } from "@gladewall/gateway";
import { Failure, FailureCode, Logger, VirtualClock } from "@gladewall/kernel";
import { FakePlatform } from "@gladewall/standins";
import { Err } from "ts-results-es";

const stableMs = 600;

// Guards against an instance that takes an empty list for a fleet of one: if the leases of all records have run out and the store
// takes no new ones, every instance of a fleet that starts again finds nobody, and would take the whole slack of the retry budget.
t.test("the size of the fleet is not known before the own record is listed", (t) => checkSize(t, undefined));

// The record of a former start outlasts its process by the lease. An instance that took it for its own counted itself alone where the
// records of the others had just run out.
t.test("the size of the fleet is not known by the record of a former start", (t) =>
  checkSize(t, { address: "127.0.0.1:99", incarnation: 1 }),
);

/** Checks that an instance knows the size of the fleet only once the store has taken its record; `former` is a record of its name. */
async function checkSize(t: Test, former: object | undefined): Promise<void> {
  const clock = VirtualClock.create();
  const platform = FakePlatform.create(clock);
  if (former) platform.shared.put("gladewall/members/own", JSON.stringify(former));
  const { store } = platform.createAdapter();
  const grantLease = store.grantLease.bind(store);
  store.grantLease = () =>
    Promise.resolve(Err(Failure.create(FailureCode.ServiceUnavailable, { detail: "refused" })));
  const records = MemberRecords.create({
    store,
    clock,
    logger: Logger.createSilent(),
    name: "own",
    incarnation: 2,
    address: "127.0.0.1:99",
    capacity: 1,
    onChange: () => undefined,
    isLinked: () => false,
  });
  records.start();
  await clock.advance(10_000);
  t.ok(records.isListed);
  t.equal(records.findSize(stableMs), undefined, "the record of this start is not listed");
  store.grantLease = grantLease;
  await clock.advance(4_000);
  t.equal(records.findSize(stableMs), 1);
  const closed = records.close();
  await clock.advance(20_000);
  await closed;
}
