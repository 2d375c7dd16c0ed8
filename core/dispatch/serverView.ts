import type { Milliseconds } from '../clock/mod.ts';
import type { BackendServer, ModelName } from '../serving/mod.ts';

/** The last report of a keeper, the process beside an engine that loads and unloads its adapters. */
export type KeeperReport = {
  /** Versions of base models and adapters that the engine holds, by name. */
  readonly holdings: ReadonlyMap<ModelName, number>;
  /** Requests that the engine runs. */
  readonly running: number;
  /** Requests in the engine's queue. */
  readonly queued: number;
  /** Adapter slots that are empty or can be freed immediately. */
  readonly freeablePlaces: number;
  /** Base models and adapters that were requested from the keeper and are not loaded yet. */
  readonly awaited: number;
  /** When the report arrived, on this process's clock. */
  readonly receivedAt: Milliseconds;
};

/** Weight of the newest sample in the moving average of the time to first byte. */
const FIRST_BYTE_WEIGHT = 0.1;

/** Time to first byte assumed for a server before its first response. */
const INITIAL_FIRST_BYTE_MS: Milliseconds = 40;

/** Weight of the newest pause in the recent mean; a busy server has hundreds of pauses a second. */
const RECENT_PAUSE_WEIGHT = 0.02;

/** Least weight of the newest pause in the usual mean, which reflects a speed that hardly changes. */
const USUAL_PAUSE_WEIGHT = 0.002;

/**
 * Pauses that the initial usual pause counts for. It is small, since a slow server must be recognised
 * before it has received its share of the adapters, which takes some seconds.
 */
const INITIAL_PAUSE_COUNT = 20;

/**
 * Usual pause assumed for an unknown server: that of a slow one, so that it does not get more than it can
 * serve before its first streams have shown its speed.
 */
const INITIAL_USUAL_PAUSE_MS: Milliseconds = 45;

/** Pauses that a usual pause inherited from the previous server at the same address counts for. */
const INHERITED_PAUSE_COUNT = 100;

/** Mean pause assumed for a server without recent pauses. */
const DEFAULT_PAUSE_MS: Milliseconds = 35;

/** Half-life of the recent mean pause, which decays to the default. */
const PAUSE_HALF_LIFE_MS: Milliseconds = 2000;

/** Number of recently held models whose weights a server is assumed to still have cached. */
const MAX_RECENTLY_HELD = 150;

/**
 * What one entry knows of one backend server: its published record, its keeper's reports and the entry's
 * own measurements.
 *
 * A pause is the time between two chunks of a streamed response, which approximates the inter-token
 * latency.
 */
export class ServerView {
  /** The latest published record. */
  server: BackendServer;

  /** The keeper's last report; absent while there is none. */
  keeper: KeeperReport | undefined;

  /** Requests of this entry in flight. */
  inFlight = 0;

  /** Mean time from sending a request to the first byte of its response. */
  firstByteMs: Milliseconds = INITIAL_FIRST_BYTE_MS;

  /** Requests of this entry that wait for the first byte of their response. */
  awaitingFirstByte = 0;

  /** Requests of this entry in flight, by model name. */
  readonly requestsByModel = new Map<ModelName, number>();

  /** Requests of this entry that were in flight when the keeper's report arrived. */
  #inFlightAtReport = 0;

  /** Models that the server rejected as not loaded, with the time of the rejection. */
  readonly #missing = new Map<ModelName, Milliseconds>();

  /** Models that the server holds or held recently, the oldest first. */
  readonly #recentlyHeld = new Set<ModelName>();

  #recentPauseMs: Milliseconds = DEFAULT_PAUSE_MS;

  #lastPauseAt: Milliseconds = 0;

  #usualPauseMs: Milliseconds = INITIAL_USUAL_PAUSE_MS;

  /** Pauses that the usual pause averages. */
  #pauseCount = INITIAL_PAUSE_COUNT;

  /**
   * @param server The server's record.
   * @param previous The previous server at the same address, which is most likely the same machine and
   *   equally fast.
   */
  constructor(server: BackendServer, previous?: Pick<ServerView, 'usualPauseMs'>) {
    this.server = server;
    if (previous !== undefined) {
      this.#usualPauseMs = previous.usualPauseMs;
      this.#pauseCount = INHERITED_PAUSE_COUNT;
    }
    this.#addRecentlyHeld(server.holdings.map(({ name }) => name));
  }

  /** Requests at the server: those of other entries as last reported, and those of this entry now. */
  get load(): number {
    const reported = this.keeper === undefined ? 0 : this.keeper.running + this.keeper.queued;
    return Math.max(0, reported - this.#inFlightAtReport) + this.inFlight;
  }

  /** Whether the server accepts new requests. */
  get isReady(): boolean {
    return this.server.state === 'ready';
  }

  /** Applies a report of the keeper. */
  applyKeeperReport(report: KeeperReport): void {
    if (report.holdings !== this.keeper?.holdings) this.#addRecentlyHeld(report.holdings.keys());
    this.keeper = report;
    this.#inFlightAtReport = this.inFlight;
    for (const [name, at] of this.#missing) {
      if (at < report.receivedAt) this.#missing.delete(name);
    }
  }

  /** Returns the version that the server holds, by its keeper's report or else its published record. */
  versionOf(name: ModelName): number | undefined {
    if (this.#missing.has(name)) return undefined;
    if (this.keeper !== undefined) return this.keeper.holdings.get(name);
    return this.server.holdings.find((holding) => holding.name === name)?.version;
  }

  /** Whether the server holds a model in at least the given version. */
  holds(name: ModelName, minVersion: number): boolean {
    return (this.versionOf(name) ?? -1) >= minVersion;
  }

  /** Whether the server holds an adapter or held it recently, so that it loads quickly. */
  hasRecentlyHeld(name: ModelName): boolean {
    return this.#recentlyHeld.has(name);
  }

  /** Recent mean pause of the server's streams: long on slow and on busy servers. */
  pauseMs(now: Milliseconds): Milliseconds {
    const weight = 0.5 ** ((now - this.#lastPauseAt) / PAUSE_HALF_LIFE_MS);
    return DEFAULT_PAUSE_MS + (this.#recentPauseMs - DEFAULT_PAUSE_MS) * weight;
  }

  /** Long-term mean pause, which reflects the speed of the server. */
  get usualPauseMs(): Milliseconds {
    return this.#usualPauseMs;
  }

  /** Records a pause between two chunks of a stream. */
  notePause(pauseMs: Milliseconds, now: Milliseconds): void {
    const previousMs = this.pauseMs(now);
    this.#pauseCount += 1;
    const weight = Math.max(USUAL_PAUSE_WEIGHT, 1 / this.#pauseCount);
    this.#usualPauseMs += (pauseMs - this.#usualPauseMs) * weight;
    this.#recentPauseMs = previousMs + (pauseMs - previousMs) * RECENT_PAUSE_WEIGHT;
    this.#lastPauseAt = now;
  }

  /** Records that the server rejected a request because it does not hold the named model. */
  noteMissing(name: ModelName, now: Milliseconds): void {
    this.#missing.set(name, now);
  }

  /** Records that a request was sent. Returns whether it is the only one in flight for its model. */
  noteSent(name: ModelName | undefined): boolean {
    this.inFlight += 1;
    if (name === undefined) return false;
    const count = (this.requestsByModel.get(name) ?? 0) + 1;
    this.requestsByModel.set(name, count);
    return count === 1;
  }

  /** Records that a request ended. Returns whether it was the last one in flight for its model. */
  noteEnded(name: ModelName | undefined): boolean {
    this.inFlight -= 1;
    if (name === undefined) return false;
    const count = (this.requestsByModel.get(name) ?? 1) - 1;
    if (count > 0) this.requestsByModel.set(name, count);
    else this.requestsByModel.delete(name);
    return count === 0;
  }

  /** Records the time from sending a request to the first byte of its response. */
  noteFirstByte(elapsedMs: Milliseconds): void {
    this.firstByteMs += (elapsedMs - this.firstByteMs) * FIRST_BYTE_WEIGHT;
  }

  #addRecentlyHeld(names: Iterable<ModelName>): void {
    for (const name of names) {
      this.#recentlyHeld.delete(name);
      this.#recentlyHeld.add(name);
    }
    for (const name of this.#recentlyHeld) {
      if (this.#recentlyHeld.size <= MAX_RECENTLY_HELD) return;
      this.#recentlyHeld.delete(name);
    }
  }
}
