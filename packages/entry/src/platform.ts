/**
 * Access of an entry to the platform: creates the clients that the settings name, and runs the tasks that read the
 * instance list and wait for reclaim notices.
 * @module
 */
import {
  type InstanceList,
  InstanceState,
  type KeyValueService,
  type MembershipView,
  type NoticeSource,
  UpdateSource,
} from "@gladewall/coordination";
import {
  type Clock,
  type Closeable,
  createFromPlugin,
  type Failure,
  type Logger,
  PluginKind,
  waitFor,
} from "@gladewall/kernel";
import { Err, Ok, type Result } from "ts-results-es";
import type { EntrySettings } from "./entrySettings.js";
import type { AddressOptions } from "./types.js";

const noticeWaitMs = 10_000;
const retryPauseMs = 200;
/** Consecutive readings of an unchanged list that are still merged. */
const maxMergedUnchanged = 3;

/** Clients of the three services of the platform. */
export interface PlatformClients {
  readonly keyValue: KeyValueService;
  readonly list: InstanceList;
  readonly notices: NoticeSource;
}

/** Creates the clients that the settings name. Fails with `PluginUnknown`. */
export function createPlatformClients(settings: EntrySettings["platform"]): Result<PlatformClients, Failure> {
  const create = <Client>(kind: PluginKind, name: string, address: string): Result<Client, Failure> =>
    createFromPlugin<AddressOptions, Client>(kind, name, { address, timeout: settings.timeout });
  const keyValue = create<KeyValueService>(
    PluginKind.KeyValue,
    settings.key_value,
    settings.key_value_address,
  );
  if (keyValue.isErr()) return keyValue;
  const list = create<InstanceList>(
    PluginKind.InstanceList,
    settings.instance_list,
    settings.instance_list_address,
  );
  if (list.isErr()) return list;
  const notices = create<NoticeSource>(PluginKind.Cloud, settings.notices, settings.notices_address);
  if (notices.isErr()) return Err(notices.error);
  return Ok({ keyValue: keyValue.value, list: list.value, notices: notices.value });
}

/** Merges the instance list and reclaim notices into the membership view. */
export class PlatformFollower implements Closeable {
  private readonly stop = new AbortController();
  private tasks: readonly Promise<void>[] = [];
  /** Number of consecutive readings that found the list unchanged. */
  private unchanged = 0;
  private isListUnavailable = false;

  private constructor(
    private readonly clients: PlatformClients,
    private readonly view: MembershipView,
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly getListInterval: () => number,
  ) {}

  static create(
    clients: PlatformClients,
    view: MembershipView,
    clock: Clock,
    logger: Logger,
    getListInterval: () => number,
  ): PlatformFollower {
    return new PlatformFollower(clients, view, clock, logger, getListInterval);
  }

  /** Starts to follow the list and the notices. */
  start(): void {
    this.tasks = [this.followList(), this.followNotices()];
  }

  /**
   * Reads the list once. A starting entry waits for this reading, so that it knows the instances of the fleet before it
   * follows the list.
   */
  async readList(): Promise<void> {
    const list = await this.clients.list.read();
    if (list.isErr()) {
      this.handleListFailure(list.error);
      return;
    }
    this.isListUnavailable = false;
    // The first readings of an unchanged list are still merged, because the view treats an instance as absent only
    // after several readings without it.
    this.unchanged = list.value.isUnchanged ? this.unchanged + 1 : 0;
    if (this.unchanged <= maxMergedUnchanged) this.view.mergeList(list.value.records);
  }

  async close(): Promise<void> {
    this.stop.abort();
    await Promise.all(this.tasks);
  }

  /** Logs the first of several consecutive failures to read the list. */
  private handleListFailure(failure: Failure): void {
    if (!this.isListUnavailable) this.logger.warn("list.silent", { text: failure.text });
    this.isListUnavailable = true;
  }

  private async followList(): Promise<void> {
    const { signal } = this.stop;
    while (!signal.aborted) {
      await this.readList();
      await waitFor(this.clock, this.getListInterval(), signal);
    }
  }

  private async followNotices(): Promise<void> {
    const { signal } = this.stop;
    let last = 0;
    while (!signal.aborted) {
      const batch = await this.clients.notices.waitForNotices(last, noticeWaitMs, signal);
      if (batch.isErr()) {
        await waitFor(this.clock, retryPauseMs, signal);
        continue;
      }
      last = batch.value.last;
      for (const { instance, incarnation, remaining } of batch.value.notices) {
        this.logger.info("notice", { instance, remainingMs: Math.round(remaining) });
        this.view.merge({
          id: instance,
          incarnation,
          state: InstanceState.Leaving,
          source: UpdateSource.Notice,
          remaining,
        });
      }
    }
  }
}
