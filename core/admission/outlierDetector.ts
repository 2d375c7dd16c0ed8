import type { Milliseconds } from '../clock/mod.ts';
import type { Outcome } from '../outcome/mod.ts';

/** Options of an `OutlierDetector`. */
export type OutlierDetectorOptions = {
  /** Consecutive failures after which a host is ejected. @default 5 */
  readonly failures?: number;
  /** Length of the first ejection; doubles with each further one without a success. @default 2000 */
  readonly baseEjectionMs?: Milliseconds;
  /** The longest ejection. @default 30000 */
  readonly maxEjectionMs?: Milliseconds;
  /** Share of the known hosts that may be ejected at the same time. @default 0.5 */
  readonly share?: number;
};

/** A host's consecutive failures, and its ejections since its last success; `until` ends the latest one. */
type HostRecord = { failures: number; ejections: number; until: Milliseconds };

/**
 * Ejects hosts that fail repeatedly, so that they get no requests for some time.
 *
 * After an ejection the host gets requests again. Its next failure ejects it for twice as long; its next
 * success resets its record.
 */
export class OutlierDetector {
  readonly #options: Required<OutlierDetectorOptions>;

  readonly #records = new Map<string, HostRecord>();

  constructor(options: OutlierDetectorOptions = {}) {
    this.#options = {
      failures: 5,
      baseEjectionMs: 2000,
      maxEjectionMs: 30_000,
      share: 0.5,
      ...options,
    };
  }

  /**
   * Records the outcome of a request on a host. Backend errors, responses of the wrong adapter and lost
   * responses are failures; other outcomes except success are ignored.
   */
  noteOutcome(host: string, outcome: Outcome, now: Milliseconds): void {
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

  /** Removes the record of a host. */
  forget(host: string): void {
    this.#records.delete(host);
  }

  /** Tells whether a host is ejected. */
  isEjected(host: string, now: Milliseconds): boolean {
    const record = this.#records.get(host);
    return record !== undefined && record.until > now;
  }

  #recordOf(host: string): HostRecord {
    let record = this.#records.get(host);
    if (record === undefined) {
      record = { failures: 0, ejections: 0, until: 0 };
      this.#records.set(host, record);
    }
    return record;
  }

  #eject(record: HostRecord, now: Milliseconds): void {
    const { baseEjectionMs, maxEjectionMs, share, failures } = this.#options;
    const ejected = [...this.#records.values()].filter(({ until }) => until > now).length;
    if (ejected + 1 > this.#records.size * share) return;
    record.until = now + Math.min(maxEjectionMs, baseEjectionMs * 2 ** record.ejections);
    record.ejections += 1;
    record.failures = failures - 1;
  }
}
