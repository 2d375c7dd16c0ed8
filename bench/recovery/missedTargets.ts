import type { Milliseconds } from '../../core/clock/mod.ts';
import type { RecoveryRow } from './measureRecovery.ts';
import type { RecoveryFaultName } from './recoveryFaults.ts';

type Target = {
  readonly fault: RecoveryFaultName;
  readonly measure: 'streamResumedMs' | 'avoidedMs' | 'lastNewWorkMs' | 'servedAgainMs';
  readonly limitMs: Milliseconds;
};

const TARGETS: readonly Target[] = [
  { fault: 'silent link', measure: 'streamResumedMs', limitMs: 2000 },
  { fault: 'silent link', measure: 'servedAgainMs', limitMs: 2000 },
  { fault: 'killed sidecar', measure: 'avoidedMs', limitMs: 1000 },
  { fault: 'leaving host', measure: 'lastNewWorkMs', limitMs: 3000 },
  { fault: 'host listed as leaving', measure: 'lastNewWorkMs', limitMs: 3000 },
];

/** Returns a message for each target that a row misses, and the violations that it lists. */
export function missedTargets(row: RecoveryRow): readonly string[] {
  const missed = TARGETS.filter(
    ({ fault, measure, limitMs }) => fault === row.fault && (row[measure] ?? Infinity) > limitMs,
  );
  return [
    ...missed.map(({ measure, limitMs }) => `${measure} is ${row[measure]}, above ${limitMs}`),
    ...row.violations,
  ];
}
