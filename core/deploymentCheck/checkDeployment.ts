import type { Deployment, Route, Service } from '../serving/mod.ts';

/** The keys of one tenant. They are secrets: findings count them and never contain them. */
export type TenantKeys = { readonly tenant: string; readonly keys: readonly string[] };

/** Something in a configuration that the operator should correct or know. */
export type Finding = {
  /** Errors must not be published; warnings name what can never take effect or contradicts something else. */
  readonly severity: 'error' | 'warning';
  /** The object, such as `route r1`. */
  readonly place: string;
  readonly text: string;
  readonly remedy: string;
};

/** What the check knows besides the configuration. */
export type DeploymentCheckOptions = {
  /** Keys by tenant. @default none */
  readonly tenants?: readonly TenantKeys[];
  /** Backend servers by service, if known. @default unknown */
  readonly serverCounts?: ReadonlyMap<string, number>;
  /** Memory of the smallest entry, in MB; 0 if unknown. @default 0 */
  readonly memoryMb?: number;
};

/** A key: visible characters of ASCII, as entries take them. */
const KEY_PATTERN = /^[\x21-\x7e]{1,256}$/;

/** Share of an entry's memory that one body may take; more than a few at once would exhaust it. */
const MAX_BODY_SHARE = 0.1;

const BYTES_IN_MB = 1_048_576;

function error(place: string, text: string, remedy: string): Finding {
  return { severity: 'error', place, text, remedy };
}

function warning(place: string, text: string, remedy: string): Finding {
  return { severity: 'warning', place, text, remedy };
}

function routePlace({ name }: Route): string {
  return `route ${name}`;
}

/** Returns the values that occur earlier in the list as well, with the index of the first occurrence. */
function duplicates<Value>(
  values: readonly Value[],
  keyOf: (value: Value) => string,
): readonly { readonly value: Value; readonly first: Value }[] {
  const known = new Map<string, Value>();
  return values.flatMap((value) => {
    const first = known.get(keyOf(value));
    if (first !== undefined) return [{ value, first }];
    known.set(keyOf(value), value);
    return [];
  });
}

function checkRouteTargets({ routes, services }: Deployment): readonly Finding[] {
  return routes.flatMap((route) => {
    const place = routePlace(route);
    const total = route.services.reduce((sum, { weight }) => sum + weight, 0);
    return [
      ...(route.services.length === 0
        ? [error(place, 'it names no service', 'Name a service or a traffic split')]
        : []),
      ...route.services
        .filter(({ service }) => !services.has(service))
        .map(({ service }) =>
          error(place, `service ${service} does not exist`, 'Add the service or correct its name'),
        ),
      ...(route.services.length > 0 && total <= 0
        ? [error(place, 'the weights of its split are 0', 'Give one service a weight above 0')]
        : []),
      ...route.services
        .filter(({ weight }) => weight <= 0 && total > 0)
        .map(({ service }) =>
          warning(place, `service ${service} gets no traffic`, 'Remove it or raise its weight'),
        ),
    ];
  });
}

function checkRouteMatches({ routes }: Deployment): readonly Finding[] {
  const invalidPrefixes = routes
    .filter(({ pathPrefix }) => !pathPrefix.startsWith('/') || !pathPrefix.endsWith('/'))
    .map((route) =>
      error(
        routePlace(route),
        `the prefix "${route.pathPrefix}" does not begin and end with a slash`,
        'Add the slash',
      ),
    );
  const shadowed = duplicates(routes, (route) => `${route.authority} ${route.pathPrefix}`).map(
    ({ value, first }) =>
      warning(
        routePlace(value),
        `it can never match, since ${routePlace(first)} has the same host and prefix`,
        'Remove one of them or change its prefix',
      ),
  );
  const names = duplicates(routes, ({ name }) => name).map(({ value }) =>
    error(routePlace(value), 'its name is used twice', 'Give each route a name of its own'),
  );
  return [...invalidPrefixes, ...shadowed, ...names];
}

function checkRouteTimes({ routes }: Deployment): readonly Finding[] {
  return routes.flatMap((route) => {
    const { timeoutMs, objectiveMs, maxPauseMs } = route;
    const place = routePlace(route);
    return [
      ...(timeoutMs <= 0
        ? [error(place, `the timeout is ${timeoutMs} ms`, 'Set a timeout above 0')]
        : []),
      ...(timeoutMs > 0 && timeoutMs < objectiveMs
        ? [
            warning(
              place,
              `the timeout of ${timeoutMs} ms is below the objective of ${objectiveMs} ms`,
              'Raise the timeout or lower the objective',
            ),
          ]
        : []),
      ...(maxPauseMs !== undefined && maxPauseMs > timeoutMs
        ? [
            warning(
              place,
              `the allowed pause of ${maxPauseMs} ms is above the timeout of ${timeoutMs} ms`,
              'Lower the pause or raise the timeout',
            ),
          ]
        : []),
    ];
  });
}

function checkAttempts(
  { routes }: Deployment,
  serverCounts: ReadonlyMap<string, number>,
): readonly Finding[] {
  return routes.flatMap((route) =>
    route.services
      .filter(({ service }) => route.maxAttempts > (serverCounts.get(service) ?? Infinity))
      .map(({ service }) =>
        warning(
          routePlace(route),
          `${route.maxAttempts} attempts are allowed, and ${service} has ${serverCounts.get(service)} servers`,
          'Lower the attempts or add servers',
        ),
      ),
  );
}

function checkEngine({ name, engine, maxConnections }: Service): readonly Finding[] {
  if (engine === undefined) return [];
  const place = `service ${name}`;
  const { batchWidth, adapterPlaces, weightsMb, models } = engine;
  return [
    ...(batchWidth > maxConnections
      ? [
          warning(
            place,
            `an engine runs ${batchWidth} requests, and accepts ${maxConnections} connections`,
            'Raise the connections; a connection carries one request at a time',
          ),
        ]
      : []),
    ...models
      .filter((model) => model.weightsMb + adapterPlaces * model.adapterMb > weightsMb)
      .map((model) =>
        warning(
          place,
          `${model.name} with ${adapterPlaces} adapters needs more than the ${weightsMb} MB for weights`,
          'Lower the adapter slots or raise the memory for weights',
        ),
      ),
  ];
}

function checkServices(deployment: Deployment): readonly Finding[] {
  const { routes, services } = deployment;
  const used = new Set(routes.flatMap((route) => route.services.map(({ service }) => service)));
  return [...services.values()].flatMap((service) => [
    ...(used.has(service.name)
      ? []
      : [
          warning(
            `service ${service.name}`,
            'no route leads to it',
            'Add a route or remove the service',
          ),
        ]),
    ...checkEngine(service),
  ]);
}

function checkKeys(tenants: readonly TenantKeys[]): readonly Finding[] {
  const all = tenants.flatMap(({ tenant, keys }) => keys.map((key) => ({ tenant, key })));
  return [
    ...tenants
      .filter(({ keys }) => keys.length === 0)
      .map(({ tenant }) =>
        warning(`tenant ${tenant}`, 'it has no key', 'Add a key or remove the tenant'),
      ),
    ...duplicates(tenants, ({ tenant }) => tenant).map(({ value }) =>
      error(`tenant ${value.tenant}`, 'its name is used twice', 'Merge the two'),
    ),
    ...duplicates(all, ({ key }) => key).map(({ value, first }) =>
      error(
        `tenant ${value.tenant}`,
        `it shares a key with tenant ${first.tenant}`,
        'Give each tenant keys of its own; the later tenant would get all requests with that key',
      ),
    ),
    ...all
      .filter(({ key }) => !KEY_PATTERN.test(key))
      .map(({ tenant }) =>
        warning(
          `tenant ${tenant}`,
          'a key can never match: it is empty, too long or has characters other than visible ASCII',
          'Replace the key',
        ),
      ),
  ];
}

function checkTokenLimits({ tenantsByKey = new Map(), services }: Deployment): readonly Finding[] {
  const memories = [...services.values()].map(({ engine }) => engine?.memoryTokens ?? 0);
  const largest = Math.max(0, ...memories);
  const tenants = [
    ...new Map([...tenantsByKey.values()].map((each) => [each.name, each])).values(),
  ];
  return tenants.flatMap(({ name, tokenLimit, defaultTokens }) => {
    if (tokenLimit === undefined) return [];
    const atOnce = Math.max(tokenLimit.burst, tokenLimit.perSecond);
    if (atOnce < defaultTokens) {
      const text = `its limit is below the ${defaultTokens} tokens of one request without a token count`;
      return [error(`tenant ${name}`, text, 'Raise the limit, or no such request is ever served')];
    }
    if (atOnce >= largest) return [];
    const text = `its limit is below the largest request that an engine takes (${largest} tokens)`;
    return [warning(`tenant ${name}`, text, 'Raise the burst if the tenant sends such requests')];
  });
}

function checkCallerLimits({ callerLimits }: Deployment, memoryMb: number): readonly Finding[] {
  const { maxBodyBytes } = callerLimits;
  const allowed = memoryMb * BYTES_IN_MB * MAX_BODY_SHARE;
  if (memoryMb === 0 || maxBodyBytes <= allowed) return [];
  return [
    warning(
      'limits',
      `a body may have ${maxBodyBytes} bytes, more than a tenth of the ${memoryMb} MB of an entry`,
      'Lower the body limit or raise the memory',
    ),
  ];
}

/** Returns what is wrong with a configuration, in the order of its parts. */
export function checkDeployment(
  deployment: Deployment,
  { tenants = [], serverCounts = new Map(), memoryMb = 0 }: DeploymentCheckOptions = {},
): readonly Finding[] {
  return [
    ...checkRouteTargets(deployment),
    ...checkRouteMatches(deployment),
    ...checkRouteTimes(deployment),
    ...checkAttempts(deployment, serverCounts),
    ...checkServices(deployment),
    ...checkKeys(tenants),
    ...checkTokenLimits(deployment),
    ...checkCallerLimits(deployment, memoryMb),
  ];
}
