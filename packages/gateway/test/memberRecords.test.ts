import t from "tap";
import { MemberRecords } from "@gladewall/gateway";
import { Failure, FailureCode, Logger, VirtualClock } from "@gladewall/kernel";
import { FakePlatform } from "@gladewall/standins";
import { Err } from "ts-results-es";

const stableMs = 600;

// Guards against an instance that takes an empty list for a fleet of one: if the leases of all records have run out and the store
// takes no new ones, every instance of a fleet that starts again finds nobody, and would take the whole slack of the retry budget.
t.test("the size of the fleet is not known before the own record is listed", async (t) => {
  const clock = VirtualClock.create();
  const { store } = FakePlatform.create(clock).createAdapter();
  const grantLease = store.grantLease.bind(store);
  store.grantLease = () =>
    Promise.resolve(Err(Failure.create(FailureCode.ServiceUnavailable, { detail: "refused" })));
  const records = MemberRecords.create({
    store,
    clock,
    logger: Logger.createSilent(),
    name: "own",
    incarnation: 1,
    address: "127.0.0.1:99",
    capacity: 1,
    onChange: () => undefined,
    isLinked: () => false,
  });
  records.start();
  await clock.advance(10_000);
  t.ok(records.isListed);
  t.equal(records.findSize(stableMs), undefined, "its own record is not listed");
  store.grantLease = grantLease;
  await clock.advance(4_000);
  t.equal(records.findSize(stableMs), 1);
  const closed = records.close();
  await clock.advance(20_000);
  await closed;
});
