import { hashText } from '../placement/mod.ts';
import type { Milliseconds } from '../clock/mod.ts';

/**
 * How a request of a route may be retried if it may have run: `repeatable` requests may run again, `once`
 * requests must not, and `resumable` streams continue on another server.
 */
export type Repeatability = 'repeatable' | 'once' | 'resumable';

/** A route of a deployment. */
export type Route = {
  readonly name: string;
  /** The authority of the requests. */
  readonly authority: string;
  /** Path prefix of the requests; begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly repeatability: Repeatability;
  /** Whether responses are event streams. */
  readonly isStream: boolean;
  /** The longest time that a request may take until its response is complete. */
  readonly timeoutMs: Milliseconds;
  /** Latency objective: a response within this time counts as on time. */
  readonly objectiveMs: Milliseconds;
  /** Priority of the route; 0 is the highest. */
  readonly priority: number;
  /** Whether callers need no key although the deployment has tenants. @default false */
  readonly isPublic?: boolean;
  /** Longest pause between two events of a stream for which the response is on time. @default none */
  readonly maxPauseMs?: Milliseconds;
  /** Whether the last part of a prompt belongs to a session, which later requests continue. @default false */
  readonly isSticky?: boolean;
  /** Services that share the traffic by weight; one service if there is no split. */
  readonly services: readonly WeightedService[];
  /** Attempts of one request that may run, at most. */
  readonly maxAttempts: number;
};

/** A service and its weight in the traffic split of a route. */
export type WeightedService = { readonly service: string; readonly weight: number };

/** A limit on the tokens of a tenant's requests, over all entries together. */
export type TokenLimit = {
  /** Tokens a second, prompt and output together. */
  readonly perSecond: number;
  /** Tokens beyond the rate that may be spent at once. */
  readonly burst: number;
};

/** A customer of the deployment, known by the keys that its callers send. */
export type Tenant = {
  readonly name: string;
  /** Takes precedence over the route's priority; 0 is the highest. */
  readonly priority?: number;
  /** Tokens that a request without a declared token count counts as. */
  readonly defaultTokens: number;
  /** Absent if the tenant is not limited. */
  readonly tokenLimit?: TokenLimit;
};

/** A base model that an engine can hold. */
export type BaseModel = {
  readonly name: string;
  /** Size of its weights, in MB. */
  readonly weightsMb: number;
  /** Size of one adapter, in MB. */
  readonly adapterMb: number;
};

/** The capacity of each engine of a service. */
export type Engine = {
  /** Requests that run in one batch. */
  readonly batchWidth: number;
  /** Adapter slots; an adapter that is loading occupies one. */
  readonly adapterPlaces: number;
  /** Memory for weights and adapters together, in MB. */
  readonly weightsMb: number;
  /** Base model loads per second that the weight store allows for all engines together. */
  readonly loadsPerSecond: number;
  /** Tokens that its memory holds, for running requests and cached parts of prompts together. */
  readonly memoryTokens?: number;
  /** Tokens in one event of a stream. */
  readonly tokensPerEvent?: number;
  readonly models: readonly BaseModel[];
};

/** A service of a deployment. */
export type Service = {
  readonly name: string;
  /** Connections that one backend server accepts from all processes together. */
  readonly maxConnections: number;
  /** Present if the backend servers are model engines. */
  readonly engine?: Engine;
};

/** Size and time limits for the requests of callers. */
export type CallerLimits = {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: Milliseconds;
  readonly idleTimeoutMs: Milliseconds;
};

/** One complete version of the operator's configuration. */
export type Deployment = {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, Service>;
  readonly callerLimits: CallerLimits;
  /** Tenants by the digest of a key, one entry for each key; absent if callers need no keys. */
  readonly tenantsByKey?: ReadonlyMap<string, Tenant>;
};

/**
 * Finds the route of a request: the one of its authority with the longest matching path prefix.
 *
 * @param deployment The current deployment.
 * @param authority The authority of the request.
 * @param path The path of the request, with or without a query.
 */
export function selectRoute(
  deployment: Deployment,
  authority: string,
  path: string,
): Route | undefined {
  const query = path.indexOf('?');
  const pathname = query < 0 ? path : path.slice(0, query);
  let best: Route | undefined;
  for (const route of deployment.routes) {
    const matches = route.authority === authority && pathname.startsWith(route.pathPrefix);
    if (matches && (best === undefined || route.pathPrefix.length > best.pathPrefix.length)) {
      best = route;
    }
  }
  return best;
}

/** Selects a service by the weights of a route; the same request id always gets the same service. */
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

/** Returns the route of a request and the service that serves it; `undefined` if there is none. */
export function selectTarget(
  deployment: Deployment,
  request: { readonly requestId: string; readonly authority: string },
  path: string,
): { readonly route: Route; readonly service: Service } | undefined {
  const route = selectRoute(deployment, request.authority, path);
  const name = route === undefined ? undefined : selectService(route, request.requestId);
  const service = name === undefined ? undefined : deployment.services.get(name);
  return route === undefined || service === undefined ? undefined : { route, service };
}
