import t from "tap";
import { PortBlockAllocator } from "@gladewall/standins";

// Guards against free ports that are only looked up and not reserved: two test files that searched from nearby numbers got the
// same ports before either listened on them.
t.test("two owners that search for free ports from the same number get different ports", async (t) => {
  const owners = [PortBlockAllocator.create(process.pid), PortBlockAllocator.create(process.pid)];
  const given = await Promise.all(owners.map((owner) => owner.findFreeAddresses(150)));
  const addresses = given.flat();
  t.equal(addresses.length, 300);
  t.equal(new Set(addresses).size, addresses.length);
});
