import type { Milliseconds } from '../clock/mod.ts';
import type { BackendServer, ModelName } from '../serving/mod.ts';

/** What the keeper beside an engine last said of it. */
export type KeeperState = {
  /** Versions of base models and adapters that the engine holds, by name. */
  readonly holdings: ReadonlyMap<ModelName, number>;
  /** Requests that the engine runs. */
  readonly running: number;
  /** Requests that wait in the engine. */
  readonly queued: number;
  /** Places for adapters that are empty or could be emptied at once. */
  readonly freeablePlaces: number;
  /** Adapters that the keeper has been asked for and has not yet. */
  readonly awaited: number;
  /** When the state was received, on this process's clock. */
  readonly receivedAt: Milliseconds;
};

/** Weight of the newest sample in a server's mean time to the first byte. */
const FIRST_BYTE_WEIGHT = 0.1;

/** Time to the first byte that is assumed of a server before it has answered. */
const ASSUMED_FIRST_BYTE_MS: Milliseconds = 40;

/** Weight of the newest pause in a server's mean pause; a busy server makes hundreds a second. */
const PAUSE_WEIGHT = 0.02;

/** Weight of the newest pause in what is known of a server's speed, which hardly changes. */
const SPEED_WEIGHT = 0.002;

/**
 * Pauses that the assumed speed of a server counts for: a slow server must be known before it has been
 * given its share of the adapters, which takes some seconds.
 */
const ASSUMED_PAUSES = 20;

/**
 * Mean pause over a long time that is assumed of an unknown server: that of a slow one, so that it is not
 * given more than it can serve before its first streams have shown its speed.
 */
const ASSUMED_USUAL_PAUSE_MS: Milliseconds = 45;

/** Pauses that the speed of an earlier server at the same address counts for. */
const INHERITED_PAUSES = 100;

/** Pause between pieces that is assumed of a server that has made none lately. */
const ASSUMED_PAUSE_MS: Milliseconds = 35;

/** Time after which what is known of a server's pauses counts half. */
const PAUSE_HALF_LIFE_MS: Milliseconds = 2000;

/** Adapters that a server held and whose weights it still has at hand; more are forgotten. */
const REMEMBERED_HOLDINGS = 150;

/** What one entry knows of one backend server: published, told by its keeper, and seen itself. */
export class ServerView {
  server: BackendServer;

  /** Absent while the keeper is silent. */
  keeper: KeeperState | undefined;

  /** Own requests that have been sent and have not ended. */
  inFlight = 0;

  /** Mean time from sending a request to its first byte. */
  firstByteMs: Milliseconds = ASSUMED_FIRST_BYTE_MS;

  /** Own requests that have been sent and have had no byte of an answer. */
  starting = 0;

  /** Own requests in flight by adapter. */
  readonly uses = new Map<ModelName, number>();

  /** Own requests that were in flight when the keeper's state came. */
  #inFlightAtState = 0;

  /** Adapters that the server said it lacks, with the time at which it said so. */
  readonly #lacking = new Map<ModelName, Milliseconds>();

  /** Names that the server holds or held not long ago, the oldest first. */
  readonly #remembered = new Set<ModelName>();

  #pauseMs: Milliseconds = ASSUMED_PAUSE_MS;

  #pauseAt: Milliseconds = 0;

  #usualPauseMs: Milliseconds = ASSUMED_USUAL_PAUSE_MS;

  /** Pauses that the usual pause is the mean of. */
  #pauses = ASSUMED_PAUSES;

  /**
   * @param server The server's record.
   * @param earlier What was known of a server before it at the same address; the same machine, most
   *   likely, is as fast as it was.
   */
  constructor(server: BackendServer, earlier?: Pick<ServerView, 'usualPauseMs'>) {
    this.server = server;
    if (earlier !== undefined) {
      this.#usualPauseMs = earlier.usualPauseMs;
      this.#pauses = INHERITED_PAUSES;
    }
    this.#remember(server.holdings.map(({ name }) => name));
  }

  /** Requests at the server: those of other entries as last told, and the own ones now. */
  get load(): number {
    const told = this.keeper === undefined ? 0 : this.keeper.running + this.keeper.queued;
    return Math.max(0, told - this.#inFlightAtState) + this.inFlight;
  }

  /** Whether new requests may go to the server. */
  get isReady(): boolean {
    return this.server.state === 'ready';
  }

  /** Takes what the keeper says. */
  applyKeeper(state: KeeperState): void {
    if (state.holdings !== this.keeper?.holdings) this.#remember(state.holdings.keys());
    this.keeper = state;
    this.#inFlightAtState = this.inFlight;
    for (const [name, at] of this.#lacking) {
      if (at < state.receivedAt) this.#lacking.delete(name);
    }
  }

  /** Returns the version that the server holds, by its keeper or else by its published record. */
  versionOf(name: ModelName): number | undefined {
    if (this.#lacking.has(name)) return undefined;
    if (this.keeper !== undefined) return this.keeper.holdings.get(name);
    return this.server.holdings.find((holding) => holding.name === name)?.version;
  }

  /** Whether the server holds a name in a version that may run a request. */
  holds(name: ModelName, minVersion: number): boolean {
    return (this.versionOf(name) ?? -1) >= minVersion;
  }

  /** Whether the server holds an adapter or held it not long ago, so that its load is quick. */
  hasHeld(name: ModelName): boolean {
    return this.#remembered.has(name);
  }

  /** Mean pause between the pieces of the server's streams: long on slow and on busy servers. */
  pauseMs(now: Milliseconds): Milliseconds {
    const weight = 0.5 ** ((now - this.#pauseAt) / PAUSE_HALF_LIFE_MS);
    return ASSUMED_PAUSE_MS + (this.#pauseMs - ASSUMED_PAUSE_MS) * weight;
  }

  /** Mean pause over a long time: it tells slow servers from fast ones. */
  get usualPauseMs(): Milliseconds {
    return this.#usualPauseMs;
  }

  /** Notes a pause between two pieces of a stream. */
  notePause(tookMs: Milliseconds, now: Milliseconds): void {
    const before = this.pauseMs(now);
    this.#pauses += 1;
    const weight = Math.max(SPEED_WEIGHT, 1 / this.#pauses);
    this.#usualPauseMs += (tookMs - this.#usualPauseMs) * weight;
    this.#pauseMs = before + (tookMs - before) * PAUSE_WEIGHT;
    this.#pauseAt = now;
  }

  /** Notes that the server refused a request since it lacks what was named. */
  noteLacking(name: ModelName, now: Milliseconds): void {
    this.#lacking.set(name, now);
  }

  /** Notes that an own request was sent. Returns whether it is the first one for its adapter. */
  noteSent(name: ModelName | undefined): boolean {
    this.inFlight += 1;
    if (name === undefined) return false;
    const count = (this.uses.get(name) ?? 0) + 1;
    this.uses.set(name, count);
    return count === 1;
  }

  /** Notes that an own request ended. Returns whether it was the last one for its adapter. */
  noteEnded(name: ModelName | undefined): boolean {
    this.inFlight -= 1;
    if (name === undefined) return false;
    const count = (this.uses.get(name) ?? 1) - 1;
    if (count > 0) this.uses.set(name, count);
    else this.uses.delete(name);
    return count === 0;
  }

  /** Notes the time from sending a request to its first byte. */
  noteFirstByte(tookMs: Milliseconds): void {
    this.firstByteMs += (tookMs - this.firstByteMs) * FIRST_BYTE_WEIGHT;
  }

  #remember(names: Iterable<ModelName>): void {
    for (const name of names) {
      this.#remembered.delete(name);
      this.#remembered.add(name);
    }
    for (const name of this.#remembered) {
      if (this.#remembered.size <= REMEMBERED_HOLDINGS) return;
      this.#remembered.delete(name);
    }
  }
}
