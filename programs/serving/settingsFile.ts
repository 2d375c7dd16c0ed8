import { readFileSync } from 'node:fs';
import { readFile } from 'node:fs/promises';
import type { Clock, Milliseconds } from '../../core/clock/mod.ts';
import type { Log } from '../../log/mod.ts';
import { readProcessSettings } from '../../platform/mod.ts';
import type { ProcessSettings } from '../../platform/mod.ts';

/** Who is told of changes of a `SettingsFile`. */
export type SettingsFollower = {
  readonly clock: Clock;
  readonly log: Log;
  /** Told of settings that differ from those before. */
  readonly changed: (settings: ProcessSettings) => void;
};

/** Time between looks; the file may change without a signal, and what it holds is not urgent. */
const LOOK_MS: Milliseconds = 2000;

/** The platform's settings file, which may change at any time, with a signal or without. */
export class SettingsFile {
  /** The settings as they were at the start. */
  readonly first: ProcessSettings;

  readonly #path: string;

  /** The text that was read last, whether it could be understood or not. */
  #text: string;

  #follower: SettingsFollower | undefined;

  #cancel: (() => void) | undefined;

  /**
   * @param path Where the file is.
   * @throws {Error} When the file is missing or wrong.
   */
  constructor(path: string) {
    this.#path = path;
    this.#text = readFileSync(path, 'utf8');
    this.first = readProcessSettings(this.#text);
  }

  /** Begins to look for changes. */
  start(follower: SettingsFollower): void {
    this.#follower = follower;
    this.#cancel = follower.clock.schedule(LOOK_MS, () => {
      this.look()
        .catch((error: unknown) => follower.log('settingsWrong', { error: String(error) }))
        .finally(() => this.start(follower));
    });
  }

  /** Looks no more. */
  close(): void {
    this.#cancel?.();
  }

  /** Reads the file again; what cannot be understood changes nothing. */
  async look(): Promise<void> {
    const text = await readFile(this.#path, 'utf8');
    if (text === this.#text) return;
    this.#text = text;
    const settings = readProcessSettings(text);
    const { seeds, graceMs, retryShare } = settings;
    this.#follower?.log('settingsReloaded', { seeds: seeds.join(' '), graceMs, retryShare });
    this.#follower?.changed(settings);
  }
}
