import t from "tap";
import { PortBlockAllocator } from "@gladewall/standins";

// Ports were only looked at: two test files that began nearby were given the same ones before either listened.
t.test("two owners of ports that begin at one place are given different ones", async (t) => {
  const owners = [PortBlockAllocator.create(process.pid), PortBlockAllocator.create(process.pid)];
  const given = await Promise.all(owners.map((owner) => owner.findFreeAddresses(150)));
  const addresses = given.flat();
  t.equal(addresses.length, 300);
  t.equal(new Set(addresses).size, addresses.length);
});
