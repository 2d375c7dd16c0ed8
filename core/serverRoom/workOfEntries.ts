import type { Milliseconds } from '../clock/mod.ts';
import { NO_WORK } from './workAtServer.ts';
import type { WorkSummary } from './workAtServer.ts';

/** Time after which the work of a silent entry no longer counts; entries report it every second. */
const MAX_SILENCE_MS: Milliseconds = 3000;

/** Prompt tokens in a sample of the prefill speed, at least; about three prompts. */
const MIN_SAMPLE_TOKENS = 2000;

/** Weight of a sample that is faster than the estimate. */
const FASTER_WEIGHT = 0.3;

/**
 * Weight of a slower sample: smaller, since with few prompts at once the engine is idle for a part of the
 * time to the first event, and the sample falls short of its speed.
 */
const SLOWER_WEIGHT = 0.05;

/** What all entries have sent to one server, as its keeper knows it. */
export class WorkOfEntries<Link> {
  readonly #summaries = new Map<Link, WorkSummary>();

  readonly #reportedAt = new Map<Link, Milliseconds>();

  #total: WorkSummary = NO_WORK;

  #sampleTokens = 0;

  #sampleMs: Milliseconds = 0;

  #changedAt: Milliseconds = 0;

  #promptTokensPerMs: number | undefined;

  /** Number of entries that report their work. */
  get size(): number {
    return this.#summaries.size;
  }

  /** Prompt tokens that the server prefills in a millisecond; `undefined` before the first sample. */
  get promptTokensPerMs(): number | undefined {
    return this.#promptTokensPerMs;
  }

  /** Whether an entry has reported its work. */
  has(link: Link): boolean {
    return this.#summaries.has(link);
  }

  /** Replaces the work of an entry by what it reports. */
  set(link: Link, summary: WorkSummary, now: Milliseconds): void {
    const previous = this.#summaries.get(link);
    // The counts of a new link started before this keeper knew it.
    const prefilled =
      previous === undefined ? 0 : summary.prefilledTokens - previous.prefilledTokens;
    this.#advance(now);
    this.#addSample(Math.max(0, prefilled));
    this.#summaries.set(link, summary);
    this.#reportedAt.set(link, now);
    this.#sum();
  }

  /** Forgets an entry whose link has closed. */
  delete(link: Link, now: Milliseconds): void {
    this.#advance(now);
    this.#reportedAt.delete(link);
    if (this.#summaries.delete(link)) this.#sum();
  }

  /** Forgets the entries that have been silent for too long, such as frozen ones. */
  expire(now: Milliseconds): void {
    this.#reportedAt.forEach((at, link) => {
      if (now - at > MAX_SILENCE_MS) this.delete(link, now);
    });
  }

  /** The work of all other entries. */
  othersOf(link: Link): WorkSummary {
    const own = this.#summaries.get(link) ?? NO_WORK;
    return {
      requests: this.#total.requests - own.requests,
      promptTokens: this.#total.promptTokens - own.promptTokens,
      outputTokens: this.#total.outputTokens - own.outputTokens,
      prefilledTokens: this.#total.prefilledTokens - own.prefilledTokens,
    };
  }

  /** Counts the time since the last change, if there was something to prefill. */
  #advance(now: Milliseconds): void {
    if (this.#total.promptTokens > 0) this.#sampleMs += now - this.#changedAt;
    this.#changedAt = now;
  }

  #addSample(tokens: number): void {
    this.#sampleTokens += tokens;
    if (this.#sampleTokens < MIN_SAMPLE_TOKENS || this.#sampleMs <= 0) return;
    const sample = this.#sampleTokens / this.#sampleMs;
    const previous = this.#promptTokensPerMs ?? sample;
    const weight = sample > previous ? FASTER_WEIGHT : SLOWER_WEIGHT;
    this.#promptTokensPerMs = previous + (sample - previous) * weight;
    this.#sampleTokens = 0;
    this.#sampleMs = 0;
  }

  #sum(): void {
    let total = NO_WORK;
    this.#summaries.forEach((summary) => {
      total = {
        requests: total.requests + summary.requests,
        promptTokens: total.promptTokens + summary.promptTokens,
        outputTokens: total.outputTokens + summary.outputTokens,
        prefilledTokens: total.prefilledTokens + summary.prefilledTokens,
      };
    });
    this.#total = total;
  }
}
