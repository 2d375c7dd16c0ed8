import { sha256 } from '../../core/set/mod.ts';

/** SHA-256 digest of the bearer token of the only caller in every scenario. */
export const TOKEN_SHA256 = sha256('token');

const SET_HEADER = `
[tenant t]
[caller c]
tenant = t
token_sha256 = ${TOKEN_SHA256}
[base_model m]
[service t/s]
`;

/** The parts of a scenario's set that vary. */
export type SetDescription = {
  readonly engines: readonly string[];
  readonly services: readonly string[];
  readonly slots: number;
  readonly versions: string;
  readonly policy: string;
};

/** Formats the set of a scenario: adapters `t/a` to `t/d` and the service `t/s`. */
export function formatSet(description: SetDescription): string {
  const { engines, services, slots, versions, policy } = description;
  const pool = [
    '[pool p]',
    'base_model = m',
    `policy = ${policy}`,
    `slots = ${slots}`,
    'loads_per_second = 20',
    'loads_at_once = 4',
  ];
  const adapters = ['a', 'b', 'c', 'd'].flatMap((name) => [
    `[adapter t/${name}]`,
    'pool = p',
    `versions = ${versions}`,
  ]);
  const servers = [
    ...engines.flatMap((name) => [`[backend_server ${name}]`, 'pool = p']),
    ...services.flatMap((name) => [`[backend_server ${name}]`, 'service = t/s']),
  ];
  return [SET_HEADER, ...pool, ...adapters, ...servers, ''].join('\n');
}
