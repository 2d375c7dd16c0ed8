import type { Milliseconds } from '../clock/mod.ts';
import type { Outcome } from '../outcome/mod.ts';

/** How to build an `Ejection`. */
export type EjectionOptions = {
  /** Failures in a row after which a host gets no work. @default 5 */
  readonly failures?: number;
  /** Time of the first ejection; each further one without a success takes twice as long. @default 2000 */
  readonly firstMs?: Milliseconds;
  /** The longest ejection. @default 30000 */
  readonly longestMs?: Milliseconds;
  /** Share of known hosts that may be ejected at once. @default 0.5 */
  readonly share?: number;
};

type Record = { failures: number; ejections: number; until: Milliseconds };

/**
 * Keeps work away from hosts that fail again and again.
 *
 * When the time of an ejection ends, the host gets work again; its next failure ejects it for
 * twice as long, and its next success clears its record.
 */
export class Ejection {
  readonly #options: Required<EjectionOptions>;

  readonly #records = new Map<string, Record>();

  constructor(options: EjectionOptions = {}) {
    this.#options = { failures: 5, firstMs: 2000, longestMs: 30_000, share: 0.5, ...options };
  }

  /** Notes how a request at a host ended. */
  note(host: string, outcome: Outcome, now: Milliseconds): void {
    const record = this.#recordOf(host);
    if (outcome.kind === 'done') {
      record.failures = 0;
      record.ejections = 0;
      return;
    }
    const isFailure =
      outcome.reason === 'backend-error' ||
      outcome.reason === 'wrong-adapter' ||
      outcome.reason === 'reply-lost';
    if (!isFailure) return;
    record.failures += 1;
    if (record.failures >= this.#options.failures && record.until <= now) this.#eject(record, now);
  }

  /** Forgets a host. */
  forget(host: string): void {
    this.#records.delete(host);
  }

  /** Tells whether a host gets no work now. */
  isEjected(host: string, now: Milliseconds): boolean {
    const record = this.#records.get(host);
    return record !== undefined && record.until > now;
  }

  #recordOf(host: string): Record {
    let record = this.#records.get(host);
    if (record === undefined) {
      record = { failures: 0, ejections: 0, until: 0 };
      this.#records.set(host, record);
    }
    return record;
  }

  #eject(record: Record, now: Milliseconds): void {
    const { firstMs, longestMs, share, failures } = this.#options;
    const ejected = [...this.#records.values()].filter(({ until }) => until > now).length;
    if (ejected + 1 > this.#records.size * share) return;
    record.until = now + Math.min(longestMs, firstMs * 2 ** record.ejections);
    record.ejections += 1;
    record.failures = failures - 1;
  }
}
