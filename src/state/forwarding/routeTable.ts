/** One version of the configuration, ready for looking things up in. */
import type {
  CacheStore,
  ForwardingConfiguration,
  ForwardingOrganisation,
  ForwardingRoute,
  ForwardingService,
  OrganisationLimit,
} from "../../protocol/forwarding/types.ts";

/** An index of one configuration. */
export interface RouteTable {
  readonly configuration: ForwardingConfiguration;
  /** @returns The route with the longest prefix of the path, among those of the host. */
  readonly findRoute: (host: string, target: string) => ForwardingRoute | undefined;
  readonly findOrganisation: (key: string) => ForwardingOrganisation | undefined;
  readonly findService: (name: string) => ForwardingService | undefined;
  /** The first store of prompt parts. */
  readonly cacheStores: readonly CacheStore[];
  /** By name of an organisation that has one. */
  readonly limits: ReadonlyMap<string, OrganisationLimit>;
}

/** Hosts are compared without case and port. */
const hostOf = (host: string): string => host.toLowerCase().replace(/:\d+$/, "");

const pathOf = (target: string): string => {
  const query = target.indexOf("?");
  return query < 0 ? target : target.slice(0, query);
};

const byLongestPrefix = (left: ForwardingRoute, right: ForwardingRoute): number =>
  right.pathPrefix.length - left.pathPrefix.length;

/** Indexes a configuration. */
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
    cacheStores: configuration.services.flatMap(({ cacheStore }) => cacheStore ?? []),
  };
};
