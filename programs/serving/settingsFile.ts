import { readFileSync } from 'node:fs';
import { readFile } from 'node:fs/promises';
import type { Clock, Milliseconds } from '../../core/clock/mod.ts';
import type { Log } from '../../log/mod.ts';
import { readProcessSettings } from '../../platform/mod.ts';
import type { ProcessSettings } from '../../platform/mod.ts';

/** Options of `SettingsFile.start`. */
export type SettingsWatchOptions = {
  readonly clock: Clock;
  readonly log: Log;
  /** Called with the new settings when the file has changed. */
  readonly onChange: (settings: ProcessSettings) => void;
};

/** Time between polls of the file, which may change without a signal; its content is not urgent. */
const POLL_INTERVAL_MS: Milliseconds = 2000;

/** The platform's settings file, which may change at any time, with or without SIGHUP. */
export class SettingsFile {
  /** The settings at startup. */
  readonly initial: ProcessSettings;

  readonly #path: string;

  /** The text that was read last, valid or not; each text is reported only once. */
  #lastText: string;

  #watchOptions: SettingsWatchOptions | undefined;

  #cancelPoll: (() => void) | undefined;

  /**
   * @param path Path of the file.
   * @throws {Error} If the file is missing or invalid.
   */
  constructor(path: string) {
    this.#path = path;
    this.#lastText = readFileSync(path, 'utf8');
    this.initial = readProcessSettings(this.#lastText);
  }

  /** Starts to poll for changes. */
  start(options: SettingsWatchOptions): void {
    this.#watchOptions = options;
    this.#cancelPoll = options.clock.schedule(POLL_INTERVAL_MS, () => {
      this.reload()
        .catch((error: unknown) => options.log('settingsWrong', { error: String(error) }))
        .finally(() => this.start(options));
    });
  }

  /** Stops polling. */
  close(): void {
    this.#cancelPoll?.();
  }

  /**
   * Reads the file again; the settings in force stay if it is unreadable or invalid.
   *
   * @throws {Error} If the file cannot be read, or has changed and is invalid.
   */
  async reload(): Promise<void> {
    const text = await readFile(this.#path, 'utf8');
    if (text === this.#lastText) return;
    this.#lastText = text;
    const settings = readProcessSettings(text);
    const { seeds, graceMs, retryShare } = settings;
    this.#watchOptions?.log('settingsReloaded', { seeds: seeds.join(' '), graceMs, retryShare });
    this.#watchOptions?.onChange(settings);
  }
}
