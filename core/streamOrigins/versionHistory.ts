import type { Milliseconds } from '../clock/mod.ts';

/** Time for which a version counts after its last server; no stream lasts longer. */
const MAX_AGE_MS: Milliseconds = 60_000;

/** The software versions of the servers of each service, now and a short time ago. */
export class VersionHistory {
  /** When each version was last seen, by service. */
  readonly #seenAt = new Map<string, Map<string, Milliseconds>>();

  readonly #startedAt: Milliseconds;

  constructor(now: Milliseconds) {
    this.#startedAt = now;
  }

  /** Whether the history reaches back to the beginning of any stream that may still be taken up. */
  isComplete(now: Milliseconds): boolean {
    return now - this.#startedAt >= MAX_AGE_MS;
  }

  /** Records that a server of a version is listed. */
  note(service: string, version: string, now: Milliseconds): void {
    const versions = this.#seenAt.get(service) ?? new Map<string, Milliseconds>();
    versions.set(version, now);
    this.#seenAt.set(service, versions);
  }

  /** Returns the only version that a stream of a service can have begun at; `undefined` if there are several. */
  onlyVersionOf(service: string, now: Milliseconds): string | undefined {
    const versions = this.#seenAt.get(service);
    if (versions === undefined) return undefined;
    versions.forEach((at, version) => {
      if (now - at > MAX_AGE_MS) versions.delete(version);
    });
    const [only] = versions.keys();
    return versions.size === 1 ? only : undefined;
  }
}
