import type { ModelName } from '../../core/serving/mod.ts';
import type { Log } from '../../log/mod.ts';

/** The newest published versions of adapters. */
export class AdapterVersions {
  readonly #log: Log;

  readonly #versions = new Map<ModelName, number>();

  constructor(log: Log) {
    this.#log = log;
  }

  /** Records a version of an adapter; an older one is ignored. */
  apply(name: ModelName, version: number): void {
    const known = this.#versions.get(name) ?? 0;
    this.#versions.set(name, Math.max(known, version));
    if (version > known) this.#log('releaseTaken', { adapter: name, version });
  }

  /** Returns the oldest version of a model that may serve requests; 0 for any. */
  minOf(name: ModelName | undefined): number {
    return name === undefined ? 0 : (this.#versions.get(name) ?? 0);
  }
}
