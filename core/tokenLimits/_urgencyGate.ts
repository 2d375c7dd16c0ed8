import type { Milliseconds } from '../clock/mod.ts';
import { DemandMeter } from '../limits/mod.ts';

/** Time constant of the demand: a shift must be noticed well within 2 s. */
const DEMAND_TIME_CONSTANT_MS: Milliseconds = 400;

/** Share of the supply that less urgent requests get in any case. */
const LEAST_SHARE = 0.1;

/** Demand let through relative to the supply: above 1, so that none of the supply is left. */
const PASSED_FACTOR = 1.05;

/** Weight of each step of urgency in the division between entries, relative to the step above it. */
const STEP_WEIGHT = 0.5;

const LEAST_WEIGHT = 0.25;

type Level = {
  readonly meter: DemandMeter;
  /** Fractions of requests to let through that have accrued. */
  passes: number;
};

/** Demand of one tenant at one entry by priority, and which of it goes first while tokens are short. */
export class UrgencyGate {
  readonly #levels = new Map<number, Level>();

  /** Records a request. */
  record(priority: number, tokens: number, now: Milliseconds): void {
    let level = this.#levels.get(priority);
    if (level === undefined) {
      level = { meter: new DemandMeter(now, DEMAND_TIME_CONSTANT_MS), passes: 0 };
      this.#levels.set(priority, level);
    }
    level.meter.recordRequest(now, tokens);
  }

  /** Returns the tokens a second that are asked for. */
  demand(now: Milliseconds): number {
    return [...this.#levels.values()].reduce((sum, { meter }) => sum + meter.perSecond(now), 0);
  }

  /** Returns the demand with urgent requests counted more, for the division between entries. */
  weight(now: Milliseconds): number {
    return [...this.#levels].reduce((sum, [priority, { meter }]) => {
      const weight = Math.max(LEAST_WEIGHT, STEP_WEIGHT ** priority);
      return sum + meter.perSecond(now) * weight;
    }, 0);
  }

  /**
   * Returns whether a request may use tokens while they are short. Those of a priority pass in the proportion
   * in which the supply covers them once the more urgent ones are covered.
   *
   * @param supply Tokens a second that this entry gets.
   */
  passes(priority: number, supply: number, now: Milliseconds): boolean {
    const level = this.#levels.get(priority);
    if (level === undefined) return true;
    const moreUrgent = [...this.#levels]
      .filter(([other]) => other < priority)
      .reduce((sum, [, { meter }]) => sum + meter.perSecond(now), 0);
    if (moreUrgent === 0) return true;
    const own = Math.max(1, level.meter.perSecond(now));
    const left = Math.max(supply * PASSED_FACTOR - moreUrgent, supply * LEAST_SHARE);
    level.passes = Math.min(2, level.passes + left / own);
    if (level.passes < 1) return false;
    level.passes -= 1;
    return true;
  }
}
