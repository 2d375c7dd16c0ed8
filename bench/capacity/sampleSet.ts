import type { SetObject } from '../../core/set/mod.ts';

const TENANTS = 40;

const POOLS = 5;

/**
 * Creates the objects of a set for measurements.
 *
 * @param adapters Number of adapters; every tenth has a route.
 * @param backendServers Number of backend servers.
 */
export function createSampleSet(adapters: number, backendServers = 8): readonly SetObject[] {
  const objects: SetObject[] = [];
  for (let index = 0; index < TENANTS; index += 1) {
    objects.push({ kind: 'tenant', name: `house-${index}` });
  }
  for (let index = 0; index < POOLS; index += 1) {
    objects.push({ kind: 'base_model', name: `base-${index}` });
    objects.push({
      kind: 'pool',
      name: `pool-${index}`,
      baseModel: `base-${index}`,
      policy: 'load-stalls',
      slots: 8,
      loadsPerSecond: 4,
      loadsAtOnce: 2,
    });
  }
  for (let index = 0; index < backendServers; index += 1) {
    const pool = `pool-${index % POOLS}`;
    objects.push({ kind: 'backend_server', name: `engine-${index}`, pool, service: '' });
  }
  for (let index = 0; index < adapters; index += 1) {
    const tenant = `house-${index % TENANTS}`;
    const name = `${tenant}/finding-aid-${index}`;
    const versions = ['1', '2'];
    const pool = `pool-${index % POOLS}`;
    objects.push({ kind: 'adapter', name, pool, versions, shared: false, tenant });
    if (index % 10 === 0) {
      const route = `${tenant}/draft-${index}`;
      objects.push({ kind: 'route', name: route, adapter: name, version: '2', tenant });
    }
  }
  return objects;
}
