import type { Clock, Milliseconds } from '../core/clock/mod.ts';
import type { Log, LogEventName } from './catalogue.ts';

/** When an event was last logged, and how often it was suppressed since. */
type LogState = { readonly at: Milliseconds; dropped: number };

/** Default interval in which each event is logged at most once. */
const DEFAULT_INTERVAL_MS: Milliseconds = 1000;

/**
 * Rate-limits each log event; the next one logged has the number of those suppressed as `dropped`.
 *
 * @param log The log to write to.
 * @param clock The clock that measures intervals.
 * @param intervalMs Interval in which each event is logged at most once. @default 1000
 */
export function limitLogRate(log: Log, clock: Clock, intervalMs = DEFAULT_INTERVAL_MS): Log {
  const stateByEvent = new Map<LogEventName, LogState>();
  return (event, fields = {}) => {
    const now = clock.now();
    const previous = stateByEvent.get(event);
    if (previous !== undefined && now - previous.at < intervalMs) {
      previous.dropped += 1;
      return;
    }
    stateByEvent.set(event, { at: now, dropped: 0 });
    const dropped = previous?.dropped ?? 0;
    log(event, dropped === 0 ? fields : { ...fields, dropped });
  };
}
