/*
 * Guards against an archive that names the earlier of two origins of one key, and against segments that nobody removes.
 */
import { OriginArchive, OriginTable, type MetadataStore } from "@gladewall/gateway";
import { Logger } from "@gladewall/kernel";
import { Ok } from "ts-results-es";
import t from "tap";
import { StepClock } from "./stepClock.js";

const retentionMs = 3_000;
const OriginSource = { Own: 1, Told: 2 } as const;
const stepMs = 50;

interface Bench {
  readonly archive: OriginArchive;
  readonly table: OriginTable;
  isWriter: boolean;
}

class Fleet {
  readonly clock = new StepClock();
  readonly items = new Map<string, Uint8Array>();
  readonly benches: Bench[] = [];
  isNeeded = true;

  add(isWriter: boolean): Bench {
    const { clock, items } = this;
    const getRetentionMs = (): number => retentionMs;
    const table = OriginTable.create({ clock, getRetentionMs });
    const store = {
      list: async () => Ok({ items: [...items].sort().map(([key, value]) => ({ key, value, revision: 1 })) }),
      transact: async ({ put, remove }: Parameters<MetadataStore["transact"]>[0]) => {
        for (const { key, value } of put) items.set(key, value);
        for (const key of remove) items.delete(key);
        return Ok({ era: 0, revision: 1 });
      },
    } as unknown as MetadataStore;
    const bench: Bench = {
      table,
      isWriter,
      archive: OriginArchive.create({
        store,
        clock,
        logger: Logger.createSilent(),
        table,
        getRetentionMs,
        isNeeded: () => this.isNeeded,
        isWriter: () => bench.isWriter,
      }),
    };
    this.benches.push(bench);
    return bench;
  }

  async advance(ms: number): Promise<void> {
    for (let at = 0; at < ms; at += stepMs) {
      for (const { archive } of this.benches) archive.reconcile();
      await this.clock.advance(stepMs);
    }
  }
}

t.test("segments of an instance that wrote in the writer's place are removed", async (t) => {
  const fleet = new Fleet();
  const writer = fleet.add(true);
  const other = fleet.add(false);
  writer.table.record(1, 1, OriginSource.Own);
  await fleet.advance(1_000);
  for (let key = 2; key < 12; key++) {
    other.table.record(key, 1, OriginSource.Own);
    void other.archive.flush();
    await fleet.advance(600);
  }
  const before = fleet.items.size;
  fleet.isNeeded = false;
  await fleet.advance(10 * retentionMs);
  t.equal(fleet.items.size, 0, `segments that stay, of ${before}`);
});

t.test("streams that peers told of before the writer knew that they are to be kept are kept", async (t) => {
  const fleet = new Fleet();
  const writer = fleet.add(true);
  fleet.isNeeded = false;
  writer.table.record(1, 1, OriginSource.Told);
  await fleet.advance(100);
  t.equal(fleet.items.size, 0);
  fleet.isNeeded = true;
  t.ok(await Promise.all([writer.archive.flush(), fleet.advance(200)]));
  const reader = fleet.add(false);
  await Promise.all([reader.archive.readAll(), fleet.advance(100)]);
  t.equal(reader.table.find(1)?.code, 1);
});

t.test("the later of two origins of one key is read", async (t) => {
  let wrong = 0;
  const runs = 20;
  for (let run = 0; run < runs; run++) {
    const fleet = new Fleet();
    for (const code of [1, 2]) {
      const { table } = fleet.add(true);
      table.record(7, code, OriginSource.Told);
      await fleet.advance(700);
      fleet.benches.pop();
    }
    const reader = fleet.add(false);
    const read = reader.archive.readAll();
    await fleet.advance(100);
    await read;
    if (reader.table.find(7)?.code === 1) wrong += 1;
  }
  t.equal(wrong, 0, `earlier origins of ${runs}`);
});
