import type { Clock, Milliseconds } from '../core/clock/mod.ts';
import type { Log, LogEventName } from '../log/mod.ts';

type Seen = { readonly at: Milliseconds; dropped: number };

/** Time in which the same event is written once, unless an option says otherwise. */
const INTERVAL_MS: Milliseconds = 1000;

/**
 * Limits how often each event is written; the next one written carries the count of those dropped.
 *
 * @param log Where events go.
 * @param clock Tells the time.
 * @param intervalMs Time in which the same event is written once. @default 1000
 */
export function limitLogRate(log: Log, clock: Clock, intervalMs = INTERVAL_MS): Log {
  const latest = new Map<LogEventName, Seen>();
  return (event, fields = {}) => {
    const now = clock.now();
    const seen = latest.get(event);
    if (seen !== undefined && now - seen.at < intervalMs) {
      seen.dropped += 1;
      return;
    }
    latest.set(event, { at: now, dropped: 0 });
    const dropped = seen?.dropped ?? 0;
    log(event, dropped === 0 ? fields : { ...fields, dropped });
  };
}
