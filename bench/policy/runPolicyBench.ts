import { CASES } from './cases.ts';
import { boundByClairvoyance } from './clairvoyant.ts';
import { CONTENDERS } from './contenders.ts';
import { DEPLOYMENTS } from './deployment.ts';
import type { Deployment } from './deployment.ts';
import type { PolicyMeasures } from './measures.ts';
import { simulatePolicy } from './simulatePolicy.ts';

/** One row of the benchmark. */
export type PolicyRow = PolicyMeasures & {
  readonly deployment: string;
  readonly policy: string;
  readonly case: string;
  readonly contender: string;
  readonly seed: number;
};

/** What to run. */
export type PolicyBenchOptions = {
  readonly deployments?: readonly string[];
  readonly policies?: readonly Deployment['policy'][];
  readonly cases?: readonly string[];
  readonly contenders?: readonly string[];
  /** @default [1, 2, 3] */
  readonly seeds?: readonly number[];
};

/** The contender that is computed from the trace and not simulated. */
export const CLAIRVOYANT = 'clairvoyant';

/** The policies that a pool may have. */
export const POLICIES: readonly Deployment['policy'][] = ['batch-efficiency', 'load-stalls'];

const SEEDS = [1, 2, 3] as const;

function measure(
  deployment: Deployment,
  caseName: string,
  contender: string,
  seed: number,
): Promise<PolicyMeasures> {
  const policyCase = CASES[caseName];
  if (policyCase === undefined) throw new Error(`no case "${caseName}"; name one of CASES`);
  if (contender === CLAIRVOYANT) {
    return Promise.resolve(boundByClairvoyance({ deployment, policyCase, seed }));
  }
  const chosen = CONTENDERS[contender];
  if (chosen === undefined) throw new Error(`no contender "${contender}"; name one of CONTENDERS`);
  return simulatePolicy({ deployment, policyCase, contender: chosen, seed });
}

/**
 * Runs every chosen cell.
 *
 * @param options The cells; all of them by default.
 * @returns One row for each cell and seed.
 */
export async function runPolicyBench(
  options: PolicyBenchOptions = {},
): Promise<readonly PolicyRow[]> {
  const {
    deployments = DEPLOYMENTS.map(({ name }) => name),
    policies = POLICIES,
    cases = Object.keys(CASES),
    contenders = [...Object.keys(CONTENDERS), CLAIRVOYANT],
    seeds = SEEDS,
  } = options;
  const rows: PolicyRow[] = [];
  for (const deployment of DEPLOYMENTS.filter(({ name }) => deployments.includes(name))) {
    for (const policy of policies) {
      for (const caseName of cases) {
        for (const contender of contenders) {
          for (const seed of seeds) {
            const measures = await measure({ ...deployment, policy }, caseName, contender, seed);
            const labels = { deployment: deployment.name, policy, case: caseName, contender, seed };
            rows.push({ ...labels, ...measures });
          }
        }
      }
    }
  }
  return rows;
}
