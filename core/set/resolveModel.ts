import { formatAdapterVersion, parseAdapterVersion } from '../identity/mod.ts';
import type { AdapterVersion } from '../identity/mod.ts';
import { notRun } from '../outcome/mod.ts';
import type { NotRun } from '../outcome/mod.ts';
import type { Pool } from './objects.ts';
import type { PublishedSet } from './publishedSet.ts';

/** The adapter version and pool to which a request's `model` resolves. */
export type ResolvedModel = {
  readonly kind: 'resolved';
  readonly adapterVersion: AdapterVersion;
  readonly pool: Pool;
  readonly generation: number;
};

type Target = { readonly kind: 'target'; readonly adapter: string; readonly version: string };

function findTarget(set: PublishedSet, model: string, tenant: string): Target | NotRun {
  const direct = parseAdapterVersion(model);
  if (direct !== undefined) return { kind: 'target', ...direct };
  const route = set.routes.get(model);
  if (route === undefined) {
    return notRun(
      'not-found',
      `model "${model}" is neither a route nor tenant/adapter@version; GET /v1/models lists both`,
    );
  }
  if (route.tenant !== tenant) {
    return notRun('forbidden', `route "${model}" belongs to another tenant; use a route of yours`);
  }
  return { kind: 'target', adapter: route.adapter, version: route.version };
}

/**
 * Resolves the `model` of a request to one version of one adapter.
 *
 * @param set The set in force.
 * @param model `tenant/adapter@version` or `tenant/route`.
 * @param tenant The tenant of the caller.
 * @returns The adapter version and its pool, or a not-run outcome with the reason.
 */
export function resolveModel(
  set: PublishedSet,
  model: string,
  tenant: string,
): ResolvedModel | NotRun {
  const target = findTarget(set, model, tenant);
  if (target.kind === 'not-run') return target;
  const { adapter: name, version } = target;
  const adapter = set.adapters.get(name);
  if (adapter === undefined) {
    return notRun('not-found', `adapter "${name}" is not in the set; GET /v1/models lists yours`);
  }
  if (adapter.tenant !== tenant && !adapter.shared) {
    return notRun('forbidden', `adapter "${name}" belongs to another tenant and is not shared`);
  }
  if (!adapter.versions.includes(version)) {
    const known = adapter.versions.join(', ');
    return notRun('not-found', `adapter "${name}" has no version "${version}"; it has ${known}`);
  }
  const pool = set.pools.get(adapter.pool);
  if (pool === undefined) {
    return notRun('not-found', `pool "${adapter.pool}" is not in the set; publish it`);
  }
  const adapterVersion = formatAdapterVersion({ adapter: name, version });
  return { kind: 'resolved', adapterVersion, pool, generation: set.generation };
}
