import type { Milliseconds } from '../clock/mod.ts';
import { keyDigest } from '../serving/mod.ts';
import type { Deployment, Route, Tenant } from '../serving/mod.ts';

/** Who sends a request, or why the request cannot be served. */
export type CallerIdentity =
  /** The deployment has no tenants. */
  | { readonly kind: 'unchecked' }
  /** The route is public. */
  | { readonly kind: 'public' }
  | { readonly kind: 'tenant'; readonly tenant: Tenant }
  /** No tenant has the key. */
  | { readonly kind: 'unauthorized' }
  /** The configuration may be too old to tell whether a tenant has the key. */
  | { readonly kind: 'stale' };

/** The inputs of `identifyCaller`. */
export type CallerIdentityInputs = {
  readonly deployment: Pick<Deployment, 'tenantsByKey'>;
  readonly route: Pick<Route, 'isPublic'>;
  /** Values of all key headers of the request. */
  readonly keys: readonly string[];
  /** Upper bound for the age of the configuration in force. */
  readonly configurationAgeMs: Milliseconds;
  /** Age above which no request with a key is served; absent if withdrawn keys are not bound by a time. */
  readonly maxAgeMs?: Milliseconds | undefined;
  /** Age up to which an unknown key is certain not to have been added in time. */
  readonly maxAgeForUnknownKeyMs: Milliseconds;
};

/** A key: visible characters of ASCII. */
const KEY_PATTERN = /^[\x21-\x7e]{1,256}$/;

/** Returns the only key among the values of the key headers; `undefined` if there is none or several. */
function singleKey(keys: readonly string[]): string | undefined {
  const [key] = keys;
  if (key === undefined || keys.some((each) => each !== key)) return undefined;
  return KEY_PATTERN.test(key) ? key : undefined;
}

/** Identifies the caller of a request by its key. */
export function identifyCaller(inputs: CallerIdentityInputs): CallerIdentity {
  const { deployment, route, keys, configurationAgeMs, maxAgeMs } = inputs;
  const { tenantsByKey } = deployment;
  if (tenantsByKey === undefined) return { kind: 'unchecked' };
  if (route.isPublic) return { kind: 'public' };
  const key = singleKey(keys);
  if (key === undefined) return { kind: 'unauthorized' };
  if (maxAgeMs !== undefined && configurationAgeMs > maxAgeMs) return { kind: 'stale' };
  const tenant = tenantsByKey.get(keyDigest(key));
  if (tenant !== undefined) return { kind: 'tenant', tenant };
  const isCertain = configurationAgeMs <= inputs.maxAgeForUnknownKeyMs;
  return { kind: isCertain ? 'unauthorized' : 'stale' };
}
