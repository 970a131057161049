/**
 * Records where the streams of an instance begin, and has it kept while a service has several versions.
 * @module
 */
import type { OriginGossip } from "./originGossip.js";
import type { OriginKeeper } from "./originKeeper.js";
import { OriginSource, type OriginTable } from "./originTable.js";
import { listServices } from "./resumableRoutes.js";
import { createStreamKey, encodeOrigin, type StreamOrigin } from "./streamOrigin.js";
import type { RoutedRequest } from "./takeUps.js";
import type { VersionRecords } from "./versionRecords.js";

/** Options of the recorder. */
export interface OriginRecorderOptions {
  readonly table: OriginTable;
  readonly records: VersionRecords;
  readonly gossip: Pick<OriginGossip, "announce">;
  readonly keeper: Pick<OriginKeeper, "keep">;
}

/** Records origins. */
export class OriginRecorder {
  private constructor(private readonly options: OriginRecorderOptions) {}

  static create(options: OriginRecorderOptions): OriginRecorder {
    return new OriginRecorder(options);
  }

  /**
   * Records where the stream of a request began; called before its first event is forwarded by this instance. Returns what that event
   * should wait for: undefined if nothing has to be kept, as with one version.
   */
  record({ route, head, workspace }: RoutedRequest, origin: StreamOrigin): Promise<void> | undefined {
    if (!route.isResumable) return undefined;
    const { table, records, gossip, keeper } = this.options;
    const isTakenUp = head.lastEventId !== undefined && head.resumes !== undefined;
    const key = createStreamKey(workspace, isTakenUp ? head.resumes : head.id);
    const code = encodeOrigin(origin);
    table.record(key, code, OriginSource.Own);
    if (!records.mayDiffer(listServices(route))) return undefined;
    gossip.announce(key, code);
    return keeper.keep(key, code);
  }
}
