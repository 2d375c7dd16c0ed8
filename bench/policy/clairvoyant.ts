import type { Milliseconds } from '../../core/clock/mod.ts';
import { MeasureRecorder } from './measures.ts';
import type { PolicyMeasures } from './measures.ts';
import type { PolicyRun } from './simulatePolicy.ts';
import { createRunTrace } from './simulatePolicy.ts';
import { WARM_UP_MS } from './trace.ts';
import type { Arrival } from './trace.ts';

const ADAPTER_LOAD_MS: Milliseconds = 250;

const STEP_MS: Milliseconds = 20;

const STEP_MS_PER_SEQUENCE: Milliseconds = 0.5;

/** Returns, for each arrival, the index of the next arrival for the same adapter version. */
function findNextUses(trace: readonly Arrival[]): readonly number[] {
  const next = new Map<string, number>();
  const uses: number[] = [];
  for (let index = trace.length - 1; index >= 0; index -= 1) {
    const { adapterVersion } = trace[index]!;
    uses[index] = next.get(adapterVersion) ?? Infinity;
    next.set(adapterVersion, index);
  }
  return uses;
}

type LoadedAdapter = { readonly readyAt: Milliseconds; readonly nextUse: number };

function evictFurthestUse(loaded: Map<string, LoadedAdapter>): void {
  let victim = '';
  let furthest = -1;
  for (const [name, { nextUse }] of loaded) {
    if (nextUse > furthest) {
      furthest = nextUse;
      victim = name;
    }
  }
  loaded.delete(victim);
}

/**
 * Returns the load stall of each arrival, with the slots of all engines in one cache that evicts
 * the adapter with the furthest next use, even if it is in use.
 */
function computeLoadStalls(
  run: Pick<PolicyRun, 'deployment' | 'policyCase'>,
  trace: readonly Arrival[],
): readonly number[] {
  const { deployment, policyCase } = run;
  const { slots, engines, loadsPerSecond } = deployment;
  const loadIntervalMs = (1000 / loadsPerSecond) * (policyCase.loadSlowdown ?? 1);
  const loaded = new Map<string, LoadedAdapter>();
  const nextUses = findNextUses(trace);
  let nextLoadAt = 0;
  return trace.map(({ adapterVersion, at }, index) => {
    const known = loaded.get(adapterVersion);
    let readyAt = known?.readyAt;
    if (readyAt === undefined) {
      const startsAt = Math.max(at, nextLoadAt);
      nextLoadAt = startsAt + loadIntervalMs;
      readyAt = startsAt + ADAPTER_LOAD_MS;
    }
    loaded.set(adapterVersion, { readyAt, nextUse: nextUses[index]! });
    if (loaded.size > slots * engines) evictFurthestUse(loaded);
    return Math.max(0, readyAt - at);
  });
}

/** Returns the batch efficiency if sequences are always packed onto as few engines as possible. */
function packedBatchEfficiency(
  spans: readonly (readonly [Milliseconds, Milliseconds])[],
  batchWidth: number,
): number {
  const changes = spans
    .flatMap(([from, to]) => [
      { at: from, by: 1 },
      { at: to, by: -1 },
    ])
    .sort((a, b) => a.at - b.at);
  let running = 0;
  let used = 0;
  let capacity = 0;
  changes.forEach(({ at, by }, index) => {
    running += by;
    const time = (changes[index + 1]?.at ?? at) - at;
    used += running * time;
    capacity += Math.ceil(running / batchWidth) * batchWidth * time;
  });
  return used / Math.max(1, capacity);
}

/**
 * Computes a bound with knowledge of all future arrivals: the pool shares one set of adapter slots,
 * evicts the adapter with the furthest next use, and moves sequences between engines at no cost.
 * It does not prefetch: an adapter loads when a request for it arrives.
 */
export function computeClairvoyantBound(
  run: Pick<PolicyRun, 'deployment' | 'policyCase' | 'seed'>,
): PolicyMeasures {
  const { deployment } = run;
  const trace = createRunTrace(run);
  const stalls = computeLoadStalls(run, trace);
  const recorder = new MeasureRecorder();
  const stepMs = STEP_MS + STEP_MS_PER_SEQUENCE * (deployment.batchWidth - 1);
  const spans: [Milliseconds, Milliseconds][] = [];
  trace.forEach(({ at, tokens }, index) => {
    const stall = stalls[index]!;
    if (at < WARM_UP_MS) return;
    spans.push([at + stall, at + stall + tokens * stepMs]);
    recorder.recordOutcome('done', stall);
    recorder.recordFirstToken(stall + stepMs);
    recorder.recordBetweenTokens(stepMs);
  });
  const { batchWidth } = deployment;
  const measures = recorder.summarize({ steps: 0, sequences: 0, adapters: 0 }, batchWidth);
  return { ...measures, batchEfficiency: packedBatchEfficiency(spans, batchWidth) };
}
