import { OutlierDetector } from '../../core/admission/mod.ts';
import type { Clock, Milliseconds } from '../../core/clock/mod.ts';
import type { AttemptOutcome, ServerView } from '../../core/dispatch/mod.ts';
import { DONE, failed, unknown } from '../../core/outcome/mod.ts';
import type { Outcome } from '../../core/outcome/mod.ts';

/** What an attempt says about the health of its server; nothing if it was not run. */
const OUTCOMES: Readonly<Record<AttemptOutcome, Outcome | undefined>> = {
  'not-sent': undefined,
  'not-run': undefined,
  unknown: unknown('reply-lost', ''),
  failed: failed('backend-error', ''),
};

/** Time for which a server that has ended or refuses connections gets no requests; doubles while it lasts. */
const MIN_UNREACHABLE_MS: Milliseconds = 250;

const MAX_UNREACHABLE_MS: Milliseconds = 1000;

/** How long a server is passed over, and until when. */
type Unreachable = { readonly forMs: Milliseconds; readonly until: Milliseconds };

/** The health of backend servers by the outcomes of one entry's requests. */
export class ServerHealth {
  readonly #clock: Clock;

  readonly #outliers = new OutlierDetector();

  readonly #unreachable = new Map<string, Unreachable>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Records a complete response. */
  noteResponse(serverId: string): void {
    this.#unreachable.delete(serverId);
    this.#outliers.noteOutcome(serverId, DONE, this.#clock.now());
  }

  /** Records an attempt without a complete response. */
  noteFailure(serverId: string, outcome: AttemptOutcome): void {
    const seen = OUTCOMES[outcome];
    if (seen !== undefined) this.#outliers.noteOutcome(serverId, seen, this.#clock.now());
  }

  /** Records that a server has ended, or that no connection to it could be opened. */
  noteUnreachable(serverId: string): void {
    const now = this.#clock.now();
    const known = this.#unreachable.get(serverId);
    // Several requests may meet the same outage at the same time.
    if (known !== undefined && known.until > now) return;
    const forMs = Math.min(
      MAX_UNREACHABLE_MS,
      known === undefined ? MIN_UNREACHABLE_MS : known.forMs * 2,
    );
    this.#unreachable.set(serverId, { forMs, until: now + forMs });
  }

  /** Returns the servers that are reachable and not ejected, or all if none is. */
  preferHealthy(views: readonly ServerView[]): readonly ServerView[] {
    const now = this.#clock.now();
    const healthy = views.filter(
      ({ server }) =>
        !this.#outliers.isEjected(server.id, now) &&
        (this.#unreachable.get(server.id)?.until ?? 0) <= now,
    );
    return healthy.length > 0 ? healthy : views;
  }

  /** Removes the record of a server. */
  forget(serverId: string): void {
    this.#unreachable.delete(serverId);
    this.#outliers.forget(serverId);
  }
}
