/**
 * Index over the active configuration. Finds the policy row for a workspace, service and class.
 *
 * Precedence: an exact workspace outranks an exact service, which outranks an exact class. The row with the
 * highest rank applies. Row names are unique within a table.
 * @module
 */
import { getRowName } from "./configuration.js";
import { type Configuration, type ServiceRecord, type PolicyRow, wildcard } from "./types.js";

const workspaceBit = 4;
const serviceBit = 2;
const classBit = 1;

/** An immutable index of the rows, services and workspaces of one configuration. */
export class PolicyTable {
  private readonly rowsByName = new Map<string, PolicyRow>();
  private readonly servicesByName = new Map<string, ServiceRecord>();
  private readonly workspacesByKeyHash = new Map<string, string>();

  private constructor(readonly configuration: Configuration) {
    for (const row of configuration.rows) this.rowsByName.set(getRowName(row), row);
    for (const service of configuration.services) this.servicesByName.set(service.name, service);
    for (const workspace of configuration.workspaces) {
      for (const hash of workspace.keyHashes) this.workspacesByKeyHash.set(hash, workspace.name);
    }
  }

  static create(configuration: Configuration): PolicyTable {
    return new PolicyTable(configuration);
  }

  /** Version of the configuration that the table was built from. */
  get version(): number {
    return this.configuration.version;
  }

  /** Returns the matching row with the highest precedence; undefined if none matches. */
  getRow(workspace: string, service: string, requestClass: string): PolicyRow | undefined {
    // At most eight lookups in order of precedence, independent of the number of rows.
    for (let rank = workspaceBit + serviceBit + classBit; rank >= 0; rank--) {
      const row = this.rowsByName.get(
        getRowName({
          workspace: rank & workspaceBit ? workspace : wildcard,
          service: rank & serviceBit ? service : wildcard,
          class: rank & classBit ? requestClass : wildcard,
        }),
      );
      if (row) return row;
    }
    return undefined;
  }

  /** Returns the service with this name; undefined if there is none. */
  getService(name: string): ServiceRecord | undefined {
    return this.servicesByName.get(name);
  }

  /**
   * Returns the workspace that a bearer key belongs to, by the hash of the key. The lookup uses a SHA-256 of
   * the key, so its timing reveals nothing about the key itself.
   */
  getWorkspace(keyHash: string): string | undefined {
    return this.workspacesByKeyHash.get(keyHash);
  }
}
