import type { Milliseconds } from '../clock/mod.ts';
import type { StreamKey, StreamOrigin } from './streamOrigin.ts';

/** Time for which an origin is kept; callers take a stream up within the time that they wait for it. */
const MAX_AGE_MS: Milliseconds = 60_000;

/** Origins that are kept, at most; the oldest yield. */
const MAX_ORIGINS = 30_000;

/** Longest request id that is kept. */
const MAX_ID_LENGTH = 200;

type Known = {
  readonly beganBy: string;
  readonly version: string;
  /** Whether two processes began streams of this name at different versions. */
  readonly isAmbiguous: boolean;
  readonly at: Milliseconds;
};

function nameOf({ service, requestId }: StreamKey): string {
  return `${service} ${requestId}`;
}

/** The origins of streams that one process knows; bounded in number and age. */
export class OriginLedger {
  /** The oldest first. */
  readonly #origins = new Map<string, Known>();

  /** Number of origins. */
  get size(): number {
    return this.#origins.size;
  }

  /** Records where a stream begins; of several records of one process the last counts. */
  note(origin: StreamOrigin, now: Milliseconds): void {
    const { requestId, version, beganBy } = origin;
    if (requestId.length === 0 || requestId.length > MAX_ID_LENGTH) return;
    const name = nameOf(origin);
    const known = this.#origins.get(name);
    const isAmbiguous =
      known !== undefined &&
      (known.isAmbiguous || (known.beganBy !== beganBy && known.version !== version));
    this.#origins.delete(name);
    this.#origins.set(name, { beganBy, version, isAmbiguous, at: now });
    this.#evict(now);
  }

  /** Returns where a stream began; `undefined` if that is not known, or not for certain. */
  find(key: StreamKey, now: Milliseconds): StreamOrigin | undefined {
    const known = this.#origins.get(nameOf(key));
    if (known === undefined || known.isAmbiguous || now - known.at > MAX_AGE_MS) return undefined;
    const { service, requestId } = key;
    return { service, requestId, version: known.version, beganBy: known.beganBy };
  }

  #evict(now: Milliseconds): void {
    for (const [name, { at }] of this.#origins) {
      if (this.#origins.size <= MAX_ORIGINS && now - at <= MAX_AGE_MS) return;
      this.#origins.delete(name);
    }
  }
}
