import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import type { Milliseconds } from '../../core/clock/mod.ts';
import type { OutcomeKind } from './outcomeKind.ts';

/** The results of one run. */
export type PolicyMeasures = {
  readonly stallP50Ms: number;
  readonly stallP95Ms: number;
  readonly stallP99Ms: number;
  readonly stalledShare: number;
  readonly batchEfficiency: number;
  readonly adaptersPerStep: number;
  readonly firstTokenP95Ms: number;
  readonly betweenTokensP95Ms: number;
  readonly completed: number;
  readonly notRun: number;
  readonly failed: number;
  readonly unknown: number;
  readonly loads: number;
  readonly wastedLoads: number;
};

/** Engine steps, with the sequences and distinct adapters summed over them. */
export type EngineWork = {
  readonly steps: number;
  readonly sequences: number;
  readonly adapters: number;
};

const MAX_TRACKABLE_MS = 600_000;

/** Load stalls up to this duration are not counted as stalls. */
const STALL_THRESHOLD_MS: Milliseconds = 0.5;

function createHistogram(): Histogram {
  return build({ highestTrackableValue: MAX_TRACKABLE_MS, numberOfSignificantValueDigits: 3 });
}

/** Collects the measurements of one run. */
export class MeasureRecorder {
  readonly #stalls = createHistogram();

  readonly #firstTokens = createHistogram();

  readonly #betweenTokens = createHistogram();

  readonly #outcomes: Record<OutcomeKind, number> = {
    done: 0,
    'not-run': 0,
    failed: 0,
    unknown: 0,
  };

  #stalled = 0;

  #requests = 0;

  loads = 0;

  wastedLoads = 0;

  /** Records a request's outcome and how long it waited for its adapter to load. */
  recordOutcome(outcome: OutcomeKind, stallMs: Milliseconds): void {
    this.#outcomes[outcome] += 1;
    this.#requests += 1;
    if (stallMs > STALL_THRESHOLD_MS) this.#stalled += 1;
    this.#stalls.recordValue(Math.round(stallMs));
  }

  /** Records the time from the arrival of a request to its first token. */
  recordFirstToken(time: Milliseconds): void {
    this.#firstTokens.recordValue(Math.round(time));
  }

  /** Records the time between two tokens of one response. */
  recordBetweenTokens(time: Milliseconds): void {
    this.#betweenTokens.recordValue(Math.round(time));
  }

  /** Returns the results of the run. */
  summarize(work: EngineWork, batchWidth: number): PolicyMeasures {
    const steps = Math.max(1, work.steps);
    return {
      stallP50Ms: this.#stalls.getValueAtPercentile(50),
      stallP95Ms: this.#stalls.getValueAtPercentile(95),
      stallP99Ms: this.#stalls.getValueAtPercentile(99),
      stalledShare: this.#stalled / Math.max(1, this.#requests),
      batchEfficiency: work.sequences / (steps * batchWidth),
      adaptersPerStep: work.adapters / steps,
      firstTokenP95Ms: this.#firstTokens.getValueAtPercentile(95),
      betweenTokensP95Ms: this.#betweenTokens.getValueAtPercentile(95),
      completed: this.#outcomes.done,
      notRun: this.#outcomes['not-run'],
      failed: this.#outcomes.failed,
      unknown: this.#outcomes.unknown,
      loads: this.loads,
      wastedLoads: this.wastedLoads,
    };
  }
}
