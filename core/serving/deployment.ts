import { hashText } from '../placement/mod.ts';
import type { Milliseconds } from '../clock/mod.ts';

/** What may be done again with a request of a route. */
export type Repeatability = 'repeatable' | 'once' | 'resumable';

/** One route of a deployment. */
export type Route = {
  readonly name: string;
  /** The authority that a request names. */
  readonly authority: string;
  /** The start of the paths that belong to the route; begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly repeatability: Repeatability;
  /** Whether answers are series of events. */
  readonly isStream: boolean;
  /** The longest time for which a request may wait for its final answer. */
  readonly timeoutMs: Milliseconds;
  /** The time within which an answer is on time. */
  readonly objectiveMs: Milliseconds;
  /** Rank of the route; 0 is the most urgent. */
  readonly priority: number;
  /** Services and their weights; one service has all the weight where there is no split. */
  readonly services: readonly WeightedService[];
  /** Backend servers that one request may be sent to. */
  readonly maxAttempts: number;
};

/** A service's share of a route. */
export type WeightedService = { readonly service: string; readonly weight: number };

/** A base model that an engine can hold. */
export type BaseModel = {
  readonly name: string;
  /** Size of its weights, in MB. */
  readonly weightsMb: number;
  /** Size of one adapter, in MB. */
  readonly adapterMb: number;
};

/** What all engines of a service can hold and do. */
export type Engine = {
  /** Requests in one batch. */
  readonly batchWidth: number;
  /** Places for adapters, those on their way included. */
  readonly adapterPlaces: number;
  /** Memory for weights and adapters together, in MB. */
  readonly weightsMb: number;
  /** Loads of base models that the weight store allows all engines together, a second. */
  readonly loadsPerSecond: number;
  readonly models: readonly BaseModel[];
};

/** A service of a deployment. */
export type Service = {
  readonly name: string;
  /** Connections that one backend server accepts from all processes together. */
  readonly maxConnections: number;
  /** Present where the backend servers are model engines. */
  readonly engine?: Engine;
};

/** What a caller may send and how long it may take. */
export type CallerLimits = {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: Milliseconds;
  readonly idleTimeoutMs: Milliseconds;
};

/** The operator's configuration, whole and of one version. */
export type Deployment = {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, Service>;
  readonly callerLimits: CallerLimits;
};

/**
 * Finds the route of a request: of those of its authority, the one with the longest matching prefix.
 *
 * @param deployment The deployment in force.
 * @param authority The authority that the request names.
 * @param path The request's path, with or without a query.
 */
export function selectRoute(
  deployment: Deployment,
  authority: string,
  path: string,
): Route | undefined {
  const query = path.indexOf('?');
  const bare = query < 0 ? path : path.slice(0, query);
  let best: Route | undefined;
  for (const route of deployment.routes) {
    const matches = route.authority === authority && bare.startsWith(route.pathPrefix);
    if (matches && (best === undefined || route.pathPrefix.length > best.pathPrefix.length)) {
      best = route;
    }
  }
  return best;
}

/** Chooses the service of a request by the route's weights; the same request always gets the same one. */
export function selectService(route: Route, requestId: string): string | undefined {
  const total = route.services.reduce((sum, { weight }) => sum + weight, 0);
  if (total <= 0) return route.services[0]?.service;
  let point = (hashText(requestId) / 2 ** 32) * total;
  for (const { service, weight } of route.services) {
    point -= weight;
    if (point < 0) return service;
  }
  return route.services.at(-1)?.service;
}
