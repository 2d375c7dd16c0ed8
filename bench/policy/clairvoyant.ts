import type { Milliseconds } from '../../core/clock/mod.ts';
import { MeasureRecorder } from './measures.ts';
import type { PolicyMeasures } from './measures.ts';
import type { PolicyRun } from './simulatePolicy.ts';
import { traceOf } from './simulatePolicy.ts';
import { WARM_UP_MS } from './trace.ts';
import type { Arrival } from './trace.ts';

const LOAD_MS: Milliseconds = 250;

const STEP_MS: Milliseconds = 20;

const STEP_MS_PER_SEQUENCE: Milliseconds = 0.5;

/** Returns, for each arrival, the number of the next one for the same adapter version. */
function nextUses(trace: readonly Arrival[]): readonly number[] {
  const next = new Map<string, number>();
  const uses: number[] = [];
  for (let index = trace.length - 1; index >= 0; index -= 1) {
    const { adapterVersion } = trace[index]!;
    uses[index] = next.get(adapterVersion) ?? Infinity;
    next.set(adapterVersion, index);
  }
  return uses;
}

type Held = { readonly readyAt: Milliseconds; readonly nextUse: number };

function evictFurthest(held: Map<string, Held>): void {
  let victim = '';
  let furthest = -1;
  for (const [name, { nextUse }] of held) {
    if (nextUse > furthest) {
      furthest = nextUse;
      victim = name;
    }
  }
  held.delete(victim);
}

/** Returns the load stall of each arrival with all slots of the pool in one, never pinned. */
function stallsOf(
  run: Pick<PolicyRun, 'deployment' | 'policyCase'>,
  trace: readonly Arrival[],
): readonly number[] {
  const { deployment, policyCase } = run;
  const { slots, engines, loadsPerSecond } = deployment;
  const gapMs = (1000 / loadsPerSecond) * (policyCase.storeSlowdown ?? 1);
  const held = new Map<string, Held>();
  const uses = nextUses(trace);
  let freeAt = 0;
  return trace.map(({ adapterVersion, at }, index) => {
    const known = held.get(adapterVersion);
    let readyAt = known?.readyAt;
    if (readyAt === undefined) {
      const startsAt = Math.max(at, freeAt);
      freeAt = startsAt + gapMs;
      readyAt = startsAt + LOAD_MS;
    }
    held.set(adapterVersion, { readyAt, nextUse: uses[index]! });
    if (held.size > slots * engines) evictFurthest(held);
    return Math.max(0, readyAt - at);
  });
}

/** Returns the mean fullness of the fewest engines that could run the given sequences. */
function packedEfficiency(
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
  let room = 0;
  changes.forEach(({ at, by }, index) => {
    running += by;
    const time = (changes[index + 1]?.at ?? at) - at;
    used += running * time;
    room += Math.ceil(running / batchWidth) * batchWidth * time;
  });
  return used / Math.max(1, room);
}

/**
 * Returns a bound that knows every arrival: it holds the adapters of the whole pool in one set of
 * slots, drops the one whose next use is furthest, and moves sequences between engines at no cost.
 * It does not load before a request asks.
 */
export function boundByClairvoyance(
  run: Pick<PolicyRun, 'deployment' | 'policyCase' | 'seed'>,
): PolicyMeasures {
  const { deployment } = run;
  const trace = traceOf(run);
  const stalls = stallsOf(run, trace);
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
  const measures = recorder.finish({ steps: 0, sequences: 0, adapters: 0 }, batchWidth);
  return { ...measures, batchEfficiency: packedEfficiency(spans, batchWidth) };
}
