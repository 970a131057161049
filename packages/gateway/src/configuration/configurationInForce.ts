/**
 * Holds the configuration in force and the newest one that was taken, and decides which configuration is put in force.
 *
 * The version in force never decreases. Configurations are ordered by their own version number, because the
 * store's revisions decrease when the store is restored from a snapshot.
 * @module
 */
import type { Logger } from "@gladewall/kernel";
import { RouteTable } from "./routeTable.js";
import type { StorePosition } from "../store/storeEras.js";
import type { PlatformAdapter, ServingConfiguration, StoreItem } from "../types.js";

/** A peer's freshness proof, with the position and the version of the configuration that it holds for. */
export interface ConfigurationProof {
  /** Age of the peer's own proof when the peer replied, in milliseconds. */
  readonly proofAgeMs: number;
  /** Revision of the newest configuration that the peer has. */
  readonly revision: number;
  /** Era of that revision, and the configuration's version; earlier builds leave both out. */
  readonly era?: number;
  readonly version?: number;
  /**
   * That configuration as stored. Left out if the requester already has it, or if it is too large to send: the
   * requester then reads it from the store.
   */
  readonly value?: Uint8Array | undefined;
}

/** The configuration that an instance has, sent to a peer that may have a newer one. */
export interface HeldConfiguration {
  /** Revision of the newest configuration; 0 before the first. */
  readonly revision: number;
  /** Its version; earlier builds leave it out. */
  readonly version?: number | undefined;
}

/** A configuration that has been examined: decoded if possible, and then compared with the one in force. */
export interface ExaminedConfiguration {
  readonly item: StoreItem;
  readonly position: StorePosition;
  /** Undefined if it cannot be decoded. */
  readonly version: number | undefined;
}

/** The configuration that an instance serves with. */
export class ConfigurationInForce {
  /** Undefined before the first. */
  table: RouteTable | undefined;
  /** Newest configuration that was put in force or refused; it is sent to peers that request it. */
  taken: ExaminedConfiguration | undefined;
  /** Last configuration that was examined, whether or not it was put in force. */
  private lastExamined: ExaminedConfiguration | undefined;
  private readonly changeListeners: ((table: RouteTable) => void)[] = [];

  private constructor(
    private readonly platform: Pick<PlatformAdapter, "decodeConfiguration">,
    private readonly logger: Logger,
  ) {}

  static create(
    platform: Pick<PlatformAdapter, "decodeConfiguration">,
    logger: Logger,
  ): ConfigurationInForce {
    return new ConfigurationInForce(platform, logger);
  }

  onChange(listener: (table: RouteTable) => void): void {
    this.changeListeners.push(listener);
  }

  /**
   * Examines a configuration that was read in an era and puts it in force if it is newer; returns its version,
   * or undefined if it cannot be decoded.
   */
  examine(item: StoreItem, era: number): number | undefined {
    const position = { era, revision: item.revision };
    if (this.lastExamined && Buffer.compare(this.lastExamined.item.value, item.value) === 0) {
      return this.updatePosition(this.lastExamined, item, position);
    }
    const decoded = this.platform.decodeConfiguration(item.value);
    const version = decoded.isOk() ? decoded.value.version : undefined;
    const inForce = this.table?.version ?? -Infinity;
    this.lastExamined = { item, position, version };
    if (version !== undefined && version < inForce) {
      this.logSkipped(this.lastExamined);
      return version;
    }
    this.taken = this.lastExamined;
    if (decoded.isErr()) {
      this.logger.error("configuration.refused", { ...position, text: decoded.error.text });
    } else if (decoded.value.version > inForce) {
      this.putInForce(decoded.value, position);
    }
    return version;
  }

  /** Records the new position of a configuration that has already been examined. */
  private updatePosition(
    seen: ExaminedConfiguration,
    item: StoreItem,
    position: StorePosition,
  ): number | undefined {
    const updated = { item, position, version: seen.version };
    if (this.taken === seen) this.taken = updated;
    this.lastExamined = updated;
    return updated.version;
  }

  private logSkipped({ version, position }: ExaminedConfiguration): void {
    const inForce = this.table?.version;
    const text = "a newer one is in force";
    this.logger.info("configuration.passed-over", { version, ...position, inForce, text });
  }

  private putInForce(configuration: ServingConfiguration, position: StorePosition): void {
    this.table = RouteTable.create(configuration);
    const { version, routes, workspaces } = configuration;
    this.logger.info("configuration.in-force", {
      version,
      ...position,
      routes: routes.length,
      workspaces: workspaces.length,
    });
    for (const listener of this.changeListeners) listener(this.table);
  }
}

/** Compares by revision if one of the versions is unknown; earlier builds do not send theirs. */
export function isNewerThan({ position, version }: ExaminedConfiguration, held: HeldConfiguration): boolean {
  if (held.version === undefined || version === undefined) return position.revision > held.revision;
  return version > held.version;
}
