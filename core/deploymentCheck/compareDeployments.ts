import type { Deployment, Route, Tenant } from '../serving/mod.ts';
import type { TenantKeys } from './checkDeployment.ts';

/** A deployment with the keys of its tenants. */
export type CheckedDeployment = {
  readonly deployment: Deployment;
  readonly tenants: readonly TenantKeys[];
};

function servicesText({ services }: Route): string {
  if (services.length === 1) return services[0]!.service;
  return services.map(({ service, weight }) => `${service} (${weight})`).join(' + ');
}

/** Properties of a route that are compared, with their names. */
const ROUTE_PROPERTIES: Readonly<Record<string, (route: Route) => string>> = {
  service: servicesText,
  host: ({ authority }) => authority,
  prefix: ({ pathPrefix }) => pathPrefix,
  'timeout in ms': ({ timeoutMs }) => String(timeoutMs),
  'objective in ms': ({ objectiveMs }) => String(objectiveMs),
  'pause in ms': ({ maxPauseMs }) => String(maxPauseMs ?? 'any'),
  priority: ({ priority }) => String(priority),
  attempts: ({ maxAttempts }) => String(maxAttempts),
  repeatability: ({ repeatability }) => repeatability,
  key: ({ isPublic = false }) => (isPublic ? 'not needed' : 'needed'),
};

function compareProperties<Value>(
  place: string,
  properties: Readonly<Record<string, (value: Value) => string>>,
  before: Value,
  after: Value,
): readonly string[] {
  return Object.entries(properties).flatMap(([name, valueOf]) => {
    const [old, changed] = [valueOf(before), valueOf(after)];
    return old === changed ? [] : [`${place}: ${name} ${old} -> ${changed}`];
  });
}

function compareNamed<Value>(
  kind: string,
  before: ReadonlyMap<string, Value>,
  after: ReadonlyMap<string, Value>,
  compare: (place: string, old: Value, changed: Value) => readonly string[],
): readonly string[] {
  return [
    ...[...before.keys()]
      .filter((name) => !after.has(name))
      .map((name) => `${kind} ${name}: removed`),
    ...[...after].flatMap(([name, value]) => {
      const old = before.get(name);
      return old === undefined
        ? [`${kind} ${name}: added`]
        : compare(`${kind} ${name}`, old, value);
    }),
  ];
}

function limitText({ tokenLimit }: Tenant): string {
  return tokenLimit === undefined
    ? 'none'
    : `${tokenLimit.perSecond} a second, burst ${tokenLimit.burst}`;
}

function compareLimits(place: string, before: Tenant, after: Tenant): readonly string[] {
  const [old, changed] = [limitText(before), limitText(after)];
  if (old === changed) return [];
  const isLower =
    (after.tokenLimit?.perSecond ?? Infinity) < (before.tokenLimit?.perSecond ?? Infinity) ||
    (after.tokenLimit?.burst ?? Infinity) < (before.tokenLimit?.burst ?? Infinity);
  const binding = isLower ? ' (binds one window after all entries have it)' : '';
  return [`${place}: token limit ${old} -> ${changed}${binding}`];
}

function tenantsByName({ deployment }: CheckedDeployment): ReadonlyMap<string, Tenant> {
  return new Map([...(deployment.tenantsByKey?.values() ?? [])].map((each) => [each.name, each]));
}

function compareTenants(before: CheckedDeployment, after: CheckedDeployment): readonly string[] {
  const properties = {
    priority: ({ priority }: Tenant) => String(priority ?? "the route's"),
    'default tokens': ({ defaultTokens }: Tenant) => String(defaultTokens),
  };
  return compareNamed(
    'tenant',
    tenantsByName(before),
    tenantsByName(after),
    (place, old, changed) => [
      ...compareProperties(place, properties, old, changed),
      ...compareLimits(place, old, changed),
    ],
  );
}

function holdersOf(tenants: readonly TenantKeys[]): ReadonlyMap<string, string> {
  return new Map(tenants.flatMap(({ tenant, keys }) => keys.map((key) => [key, tenant] as const)));
}

function counted(texts: readonly string[]): readonly string[] {
  const counts = new Map<string, number>();
  texts.forEach((text) => counts.set(text, (counts.get(text) ?? 0) + 1));
  return [...counts].map(([text, count]) => text.replace('#', String(count)));
}

/** Tells which keys were added, withdrawn or moved, by count, since keys are secrets. */
function compareKeys(before: CheckedDeployment, after: CheckedDeployment): readonly string[] {
  const [old, changed] = [holdersOf(before.tenants), holdersOf(after.tenants)];
  return counted([
    ...[...old].flatMap(([key, tenant]) => {
      const holder = changed.get(key);
      if (holder === undefined) {
        return [`tenant ${tenant}: # keys withdrawn (binds on each entry that is sure to know it)`];
      }
      return holder === tenant ? [] : [`tenant ${tenant}: # keys moved to tenant ${holder}`];
    }),
    ...[...changed]
      .filter(([key]) => !old.has(key))
      .map(([, tenant]) => `tenant ${tenant}: # keys added`),
  ]);
}

function byName<Value extends { readonly name: string }>(
  values: Iterable<Value>,
): ReadonlyMap<string, Value> {
  return new Map([...values].map((value) => [value.name, value]));
}

/** Returns in words how a configuration differs from the version in force, one line for each difference. */
export function compareDeployments(
  before: CheckedDeployment,
  after: CheckedDeployment,
): readonly string[] {
  const [old, changed] = [before.deployment, after.deployment];
  const hadTenants = old.tenantsByKey !== undefined;
  const hasTenants = changed.tenantsByKey !== undefined;
  return [
    ...(changed.version <= old.version
      ? [`version ${changed.version}: not above ${old.version}, so no entry will use it`]
      : []),
    ...(hadTenants === hasTenants ? [] : [`keys: ${hasTenants ? 'now' : 'no longer'} needed`]),
    ...compareNamed('route', byName(old.routes), byName(changed.routes), (place, from, to) =>
      compareProperties(place, ROUTE_PROPERTIES, from, to),
    ),
    ...compareNamed('service', old.services, changed.services, (place, from, to) =>
      JSON.stringify(from) === JSON.stringify(to) ? [] : [`${place}: changed`],
    ),
    ...compareTenants(before, after),
    ...compareKeys(before, after),
    ...(JSON.stringify(old.callerLimits) === JSON.stringify(changed.callerLimits)
      ? []
      : ['limits of callers: changed']),
  ];
}
