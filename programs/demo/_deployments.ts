import { sha256 } from '../../core/set/mod.ts';

/** Set, limits and requests of one demo deployment. */
export type DemoDeployment = {
  readonly tenant: string;
  readonly baseModel: string;
  readonly pool: string;
  readonly policy: 'batch-efficiency' | 'load-stalls';
  readonly loadsPerSecond: number;
  readonly loadsAtOnce: number;
  readonly slots: number;
  readonly availabilityZones: readonly string[];
  readonly service: string;
  readonly adapters: readonly string[];
  readonly prompt: string;
  readonly booking: string;
};

/** The bearer token that the demo's caller uses. */
export const DEMO_TOKEN = 'demo-reading-room-token-please-replace';

/** Versions of each adapter of the demo. */
export const DEMO_VERSIONS = ['1', '2'] as const;

/** The demo's two deployments. */
export const DEMO_DEPLOYMENTS: readonly DemoDeployment[] = [
  {
    tenant: 'ixchel',
    baseModel: 'finding-aid-8b',
    pool: 'readers',
    policy: 'batch-efficiency',
    loadsPerSecond: 4,
    loadsAtOnce: 2,
    slots: 4,
    availabilityZones: ['az-1', 'az-2', 'az-3', 'az-4'],
    service: 'loan-requests',
    adapters: ['parroquias', 'fincas', 'municipal', 'protocolos', 'mapas'],
    prompt: 'Draft a box list for legajo 14',
    booking: '{"legajo":14,"member":"Quetzaltenango"}',
  },
  {
    tenant: 'anadolu',
    baseModel: 'fin-sizing-8b',
    pool: 'engineers',
    policy: 'load-stalls',
    loadsPerSecond: 3,
    loadsAtOnce: 1,
    slots: 4,
    availabilityZones: ['az-1', 'az-2', 'az-3'],
    service: 'bench-slots',
    adapters: ['fin-pitch', 'airflow', 'datasheets', 'panel', 'drives'],
    prompt: 'Explain the fin pitch of enclosure 7',
    booking: '{"bench":2,"customer":"Marmara"}',
  },
];

/** Formats the INI text of a deployment's set, with the given names of backend servers. */
export function deploymentSet(
  deployment: DemoDeployment,
  engines: readonly string[],
  serviceServer: string,
): string {
  const { tenant, baseModel, pool, service } = deployment;
  const adapters = deployment.adapters.flatMap((name) => [
    `[adapter ${tenant}/${name}]`,
    `pool = ${pool}`,
    `versions = ${DEMO_VERSIONS.join(', ')}`,
    '',
  ]);
  const servers = engines.flatMap((name) => [`[backend_server ${name}]`, `pool = ${pool}`, '']);
  return [
    `[tenant ${tenant}]`,
    '',
    '[caller reading-room]',
    `tenant = ${tenant}`,
    `token_sha256 = ${sha256(DEMO_TOKEN)}`,
    '',
    `[base_model ${baseModel}]`,
    '',
    `[pool ${pool}]`,
    `base_model = ${baseModel}`,
    `policy = ${deployment.policy}`,
    `slots = ${deployment.slots}`,
    `loads_per_second = ${deployment.loadsPerSecond}`,
    `loads_at_once = ${deployment.loadsAtOnce}`,
    '',
    ...adapters,
    `[service ${tenant}/${service}]`,
    '',
    ...servers,
    `[backend_server ${serviceServer}]`,
    `service = ${tenant}/${service}`,
    '',
    `[objective ${tenant}-answers]`,
    `tenant = ${tenant}`,
    'target = 0.95',
    'first_token_ms = 1500',
    '',
  ].join('\n');
}
