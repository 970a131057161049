/**
 * Looks up the parts of the configuration that a request needs: routes by host and longest prefix, workspaces by key.
 * @module
 */
import type { Route, RouteTarget, Service, ServingConfiguration, Workspace } from "../types.js";

/** Index of the routes, workspaces and services of one version of the configuration. */
export class RouteTable {
  private readonly routesByHost = new Map<string, Map<string, Route>>();
  private readonly workspacesByKey = new Map<string, Workspace>();
  private readonly workspacesByName = new Map<string, Workspace>();

  private constructor(readonly configuration: ServingConfiguration) {
    for (const route of configuration.routes) this.addRoute(route);
    for (const workspace of configuration.workspaces) {
      this.workspacesByName.set(workspace.name, workspace);
      for (const key of workspace.keys) this.workspacesByKey.set(key, workspace);
    }
  }

  static create(configuration: ServingConfiguration): RouteTable {
    return new RouteTable(configuration);
  }

  get version(): number {
    return this.configuration.version;
  }

  /** Whether requests carry keys. */
  get hasWorkspaces(): boolean {
    return this.configuration.workspaces.length > 0;
  }

  /** Finds the route of a host, whose port is ignored, and a path with query; undefined if there is none. */
  findRoute(host: string, target: string): Route | undefined {
    const routes = this.routesByHost.get(removePort(host).toLowerCase());
    if (!routes) return undefined;
    const query = target.indexOf("?");
    const path = query < 0 ? target : target.slice(0, query);
    for (let end = path.lastIndexOf("/"); end >= 0; end = end === 0 ? -1 : path.lastIndexOf("/", end - 1)) {
      const route = routes.get(path.slice(0, end + 1));
      if (route) return route;
    }
    return undefined;
  }

  findWorkspaceByKey(key: string): Workspace | undefined {
    return this.workspacesByKey.get(key);
  }

  findWorkspaceByName(name: string): Workspace | undefined {
    return this.workspacesByName.get(name);
  }

  findService(name: string): Service | undefined {
    return this.configuration.services.get(name);
  }

  private addRoute(route: Route): void {
    const routes = this.routesByHost.get(route.host) ?? new Map<string, Route>();
    this.routesByHost.set(route.host, routes);
    routes.set(route.prefix, route);
  }
}

/** Picks a target's service by weight; `random` is a number from 0 to 1. */
export function pickWeightedTarget(targets: readonly RouteTarget[], random: number): string {
  const total = targets.reduce((sum, target) => sum + target.weight, 0);
  let left = random * total;
  for (const target of targets) {
    left -= target.weight;
    if (left < 0) return target.service;
  }
  return targets.at(-1)?.service ?? "";
}

function removePort(host: string): string {
  const colon = host.lastIndexOf(":");
  return colon < 0 || host.endsWith("]") ? host : host.slice(0, colon);
}
