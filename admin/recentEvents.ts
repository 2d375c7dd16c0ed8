import type { Clock, Milliseconds } from '../core/clock/mod.ts';
import { LOG_EVENTS } from '../log/mod.ts';
import type { Log, LogEventName, LogFields } from '../log/mod.ts';
import type { Row } from './_paging.ts';

type RecentEvent = {
  readonly number: number;
  readonly at: Milliseconds;
  readonly name: LogEventName;
  readonly fields: LogFields;
};

const KEY_DIGITS = 12;

/** Keeps the latest log events for the administration API. */
export class RecentEvents {
  readonly #clock: Clock;

  readonly #capacity: number;

  #events: RecentEvent[] = [];

  #count = 0;

  /** @param capacity The least number of latest events to keep. @default 512 */
  constructor(clock: Clock, capacity = 512) {
    this.#clock = clock;
    this.#capacity = capacity;
  }

  /** Wraps a log so that its events are also kept here. */
  wrapLog(log: Log): Log {
    return (name, fields = {}) => {
      this.#record(name, fields);
      log(name, fields);
    };
  }

  /** Returns the events after a key in ascending order, oldest first. */
  after(key: string): readonly Row[] {
    const now = this.#clock.now();
    return this.#events
      .map(({ number, at, name, fields }) => ({
        ...fields,
        key: String(number).padStart(KEY_DIGITS, '0'),
        ageMs: Math.round(now - at),
        event: LOG_EVENTS[name].number,
        name,
        level: LOG_EVENTS[name].level,
      }))
      .filter((row) => row.key > key);
  }

  #record(name: LogEventName, fields: LogFields): void {
    this.#count += 1;
    this.#events.push({ number: this.#count, at: this.#clock.now(), name, fields });
    const isFull = this.#events.length >= this.#capacity * 2;
    if (isFull) this.#events = this.#events.slice(-this.#capacity);
  }
}
