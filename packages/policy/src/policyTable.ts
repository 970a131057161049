/**
 * The table in force: finds the row that decides about a workspace, service and class.
 *
 * Precedence: an exact workspace goes before an exact service, that before an exact class; of two rows the one with
 * the stronger exact names wins. Two rows of one name cannot both stand in a table.
 * @module
 */
import { getRowName } from "./configuration.js";
import { type Configuration, type ServiceRecord, type PolicyRow, wildcard } from "./types.js";

const workspaceRank = 4;
const serviceRank = 2;
const classRank = 1;

/** An indexed, immutable table. */
export class PolicyTable {
  private readonly rowsByName = new Map<string, PolicyRow>();
  private readonly servicesByName = new Map<string, ServiceRecord>();
  private readonly workspacesByHash = new Map<string, string>();

  private constructor(readonly configuration: Configuration) {
    for (const row of configuration.rows) this.rowsByName.set(getRowName(row), row);
    for (const service of configuration.services) this.servicesByName.set(service.name, service);
    for (const workspace of configuration.workspaces) {
      for (const hash of workspace.keyHashes) this.workspacesByHash.set(hash, workspace.name);
    }
  }

  static create(configuration: Configuration): PolicyTable {
    return new PolicyTable(configuration);
  }

  /** Version of the document the table stands in. */
  get version(): number {
    return this.configuration.version;
  }

  /** Returns the row that decides, undefined where none matches. */
  getRow(workspace: string, service: string, requestClass: string): PolicyRow | undefined {
    // Eight lookups in order of precedence, whatever the number of rows.
    for (let rank = workspaceRank + serviceRank + classRank; rank >= 0; rank--) {
      const row = this.rowsByName.get(
        getRowName({
          workspace: rank & workspaceRank ? workspace : wildcard,
          service: rank & serviceRank ? service : wildcard,
          class: rank & classRank ? requestClass : wildcard,
        }),
      );
      if (row) return row;
    }
    return undefined;
  }

  /** Returns a service by name. */
  getService(name: string): ServiceRecord | undefined {
    return this.servicesByName.get(name);
  }

  /**
   * Returns the workspace of a bearer key's hash. The map's lookup is on a SHA-256 of the key, so its timing tells a
   * caller nothing about any key.
   */
  getWorkspace(keyHash: string): string | undefined {
    return this.workspacesByHash.get(keyHash);
  }
}
