/** Indexes one version of the configuration for lookups by host, path, API key and service. */
import type {
  CacheStore,
  ForwardingConfiguration,
  ForwardingOrganisation,
  ForwardingRoute,
  ForwardingService,
  OrganisationLimit,
} from "../../protocol/forwarding/types.ts";
import { hash64 } from "../../protocol/prefixLevels.ts";

/** The index of one configuration. */
export interface RouteTable {
  readonly configuration: ForwardingConfiguration;
  /** @returns The route of the host with the longest matching path prefix. */
  readonly findRoute: (host: string, target: string) => ForwardingRoute | undefined;
  /** @param key - An API key of the organisation. */
  readonly findOrganisation: (key: string) => ForwardingOrganisation | undefined;
  readonly findService: (name: string) => ForwardingService | undefined;
  /** The cache stores for prompt parts of all services. */
  readonly cacheStores: readonly CacheStore[];
  /** By organisation name; organisations without a limit are missing. */
  readonly limits: ReadonlyMap<string, OrganisationLimit>;
  /**
   * Identifies the set of isolated organisations. Those that are not isolated share cached prompt parts only while it
   * stays the same: an organisation that becomes isolated may have made some of these parts.
   */
  readonly isolationKey: string;
}

const radix = 36;

/** Normalises a host: lower case, without port. */
const hostOf = (host: string): string => host.toLowerCase().replace(/:\d+$/, "");

const pathOf = (target: string): string => {
  const query = target.indexOf("?");
  return query < 0 ? target : target.slice(0, query);
};

const byLongestPrefix = (left: ForwardingRoute, right: ForwardingRoute): number =>
  right.pathPrefix.length - left.pathPrefix.length;

const isolationKeyOf = ({ organisations = [] }: ForwardingConfiguration): string => {
  const isolated = organisations.filter(({ isIsolated }) => isIsolated).map(({ name }) => name);
  return isolated.length === 0 ? "" : hash64(JSON.stringify(isolated.sort())).toString(radix);
};

export const createRouteTable = (configuration: ForwardingConfiguration): RouteTable => {
  const routes = new Map<string, ForwardingRoute[]>();
  for (const route of configuration.routes) {
    routes.set(hostOf(route.host), [...(routes.get(hostOf(route.host)) ?? []), route]);
  }
  for (const ofHost of routes.values()) ofHost.sort(byLongestPrefix);
  const organisations = new Map(
    configuration.organisations?.flatMap((organisation) =>
      organisation.keys.map((key) => [key, organisation] as const),
    ),
  );
  const limits = new Map(
    configuration.organisations?.flatMap(({ name, limit }) =>
      limit === undefined ? [] : [[name, limit] as const],
    ),
  );
  const services = new Map(configuration.services.map((service) => [service.name, service]));

  return {
    configuration,
    findRoute: (host, target) => {
      const path = pathOf(target);
      return routes.get(hostOf(host))?.find(({ pathPrefix }) => path.startsWith(pathPrefix));
    },
    findOrganisation: (key) => organisations.get(key),
    findService: (name) => services.get(name),
    limits,
    isolationKey: isolationKeyOf(configuration),
    cacheStores: configuration.services.flatMap(({ cacheStore }) => cacheStore ?? []),
  };
};
