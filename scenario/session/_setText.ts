import { sha256 } from '../../core/set/mod.ts';

/** The bearer token's digest of the one caller in every scenario. */
export const TOKEN_SHA256 = sha256('token');

const HEAD = `
[tenant t]
[caller c]
tenant = t
token_sha256 = ${TOKEN_SHA256}
[base_model m]
[service t/s]
`;

/** What a scenario's set holds. */
export type SetFacts = {
  readonly engines: readonly string[];
  readonly services: readonly string[];
  readonly slots: number;
  readonly versions: string;
  readonly policy: string;
};

/** Writes the set of a scenario: adapters `t/a` to `t/d` and the service `t/s`. */
export function writeSet(facts: SetFacts): string {
  const { engines, services, slots, versions, policy } = facts;
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
  return [HEAD, ...pool, ...adapters, ...servers, ''].join('\n');
}
