import type { Clock, Milliseconds } from '../../core/clock/mod.ts';
import { hashText } from '../../core/placement/mod.ts';
import type { BackendServer } from '../../core/serving/mod.ts';
import { agreedVersion, VersionHistory } from '../../core/streamOrigins/mod.ts';
import type { OriginResult, StreamKey, VersionSummary } from '../../core/streamOrigins/mod.ts';
import type { Log } from '../../log/mod.ts';
import type { Metrics } from '../../metrics/mod.ts';
import type { Dial } from '../ports/mod.ts';
import type { OpenRequest } from './_openRequest.ts';
import { OriginTask } from './originTask.ts';
import type { ServerKeepers } from './serverKeepers.ts';

/** Options of `StreamVersions`. */
export type StreamVersionsOptions = {
  readonly clock: Clock;
  readonly dial: Dial;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Name of this entry among its peers. */
  readonly self: string;
  /** Unique id of this process; new at each start. */
  readonly incarnation: string;
  /** Returns the names of the other live entries. */
  readonly peers: () => readonly string[];
  /** Returns the keepers of the known engines. */
  readonly keepers: () => ServerKeepers;
  /** Returns the age of the records of the servers: the time since they were known to be the newest ones. */
  readonly recordsAgeMs: () => Milliseconds;
  /** Chooses a server for a request and sends it. */
  readonly dispatch: (request: OpenRequest) => void;
  /** Refuses a request that must be begun anew. */
  readonly refuse: (request: OpenRequest) => void;
};

/** Age of the records above which an entry that knows no others may have missed a version. */
const MAX_RECORDS_AGE_MS: Milliseconds = 2500;

function keyOf({ service }: OpenRequest, requestId: string): StreamKey {
  return { service: service.name, requestId };
}

function nameOf({ service, requestId }: StreamKey): string {
  return `${service} ${requestId}`;
}

/** Keeps each stream at the software version that began it, since versions cannot continue each other's. */
export class StreamVersions {
  readonly origins: OriginTask;

  readonly #options: StreamVersionsOptions;

  readonly #history: VersionHistory;

  /** The requests that wait for the origin of a stream, by its name. */
  readonly #waiting = new Map<string, Set<OpenRequest>>();

  constructor(options: StreamVersionsOptions) {
    this.#options = options;
    this.#history = new VersionHistory(options.clock.now());
    this.origins = new OriginTask({
      ...options,
      processName: hashText(options.incarnation).toString(36),
      summaryOf: (service) => this.#summaryOf(service),
      onResult: (key, result) => this.#handleResult(key, result),
    });
  }

  /** Records that a server is listed; call it with each record, and several times a second. */
  noteServer({ service, softwareVersion }: BackendServer): void {
    this.#history.note(service, softwareVersion, this.#options.clock.now());
  }

  /**
   * Tells whether the version at which a request must run is known, or may be any; if not, asks the other
   * entries, and dispatches or refuses the request later.
   */
  isKnown(request: OpenRequest): boolean {
    const { head, streamVersion } = request;
    const { resumes, lastEventId } = head;
    if (streamVersion !== undefined || (resumes === undefined && lastEventId === undefined)) {
      return true;
    }
    const key = keyOf(request, resumes ?? '');
    const version = this.origins.versionOf(key);
    if (version === undefined) {
      this.#await(request, key);
      return false;
    }
    request.streamVersion = version;
    return true;
  }

  /**
   * Records that the response of a server begins to reach the caller. Other attempts of the request have
   * brought no event, so that one origin is told for each answer.
   */
  noteBegun(request: OpenRequest, { softwareVersion }: BackendServer): void {
    const { head, route, streamVersion } = request;
    if (!route.isStream || streamVersion !== undefined) return;
    request.streamVersion = softwareVersion;
    if (route.repeatability !== 'resumable') return;
    this.origins.note(keyOf(request, head.requestId), softwareVersion);
    this.origins.flush();
  }

  #summaryOf(service: string): VersionSummary {
    return this.#history.summaryOf(service, this.#options.clock.now());
  }

  #await(request: OpenRequest, key: StreamKey): void {
    const name = nameOf(key);
    const waiting = this.#waiting.get(name);
    if (waiting !== undefined) {
      waiting.add(request);
      return;
    }
    this.#waiting.set(name, new Set([request]));
    this.origins.lookUp(key);
  }

  #handleResult(key: StreamKey, { version: found, seen, hasMajority }: OriginResult): void {
    const { dispatch, refuse, log, metrics, recordsAgeMs } = this.#options;
    const name = nameOf(key);
    // An entry that is cut off from most others, or from the store and alone, may have missed a version.
    const isInTouch = hasMajority && (seen.length > 0 || recordsAgeMs() <= MAX_RECORDS_AGE_MS);
    const agreed = isInTouch ? agreedVersion([this.#summaryOf(key.service), ...seen]) : undefined;
    const version = found ?? agreed;
    const requests = this.#waiting.get(name) ?? new Set();
    this.#waiting.delete(name);
    const result = found === undefined ? 'unknown' : 'known';
    metrics.count('origin_lookups_total', { result });
    requests.forEach((request) => {
      if (request.isFinished) return;
      log('originLookedUp', { request: request.head.requestId, resumes: key.requestId, version });
      request.streamVersion = version;
      if (version === undefined) refuse(request);
      else dispatch(request);
    });
  }
}
