import type { Milliseconds } from '../clock/mod.ts';

/** Time for which a version counts after its last server; no stream lasts longer. */
const MAX_AGE_MS: Milliseconds = 60_000;

/** What one process has seen of the software versions of a service. */
export type VersionSummary = {
  /** Versions of its servers, now and a short time ago. */
  readonly versions: readonly string[];
  /** Whether the process has seen all since the beginning of any stream that may still be taken up. */
  readonly isComplete: boolean;
};

/**
 * Returns the only version that a stream can have begun at, by what several processes have seen;
 * `undefined` if they saw several, or if none has watched for long enough to know.
 */
export function agreedVersion(summaries: readonly VersionSummary[]): string | undefined {
  if (!summaries.some(({ isComplete }) => isComplete)) return undefined;
  const versions = new Set(summaries.flatMap((summary) => summary.versions));
  const [only] = versions;
  return versions.size === 1 ? only : undefined;
}

/** The software versions of the servers of each service, now and a short time ago. */
export class VersionHistory {
  /** When each version was last seen, by service. */
  readonly #seenAt = new Map<string, Map<string, Milliseconds>>();

  readonly #startedAt: Milliseconds;

  constructor(now: Milliseconds) {
    this.#startedAt = now;
  }

  /** Records that a server of a version is listed. */
  note(service: string, version: string, now: Milliseconds): void {
    const versions = this.#seenAt.get(service) ?? new Map<string, Milliseconds>();
    versions.set(version, now);
    this.#seenAt.set(service, versions);
  }

  /** Returns what this process has seen of a service. */
  summaryOf(service: string, now: Milliseconds): VersionSummary {
    const versions = this.#seenAt.get(service) ?? new Map<string, Milliseconds>();
    versions.forEach((at, version) => {
      if (now - at > MAX_AGE_MS) versions.delete(version);
    });
    return { versions: [...versions.keys()], isComplete: now - this.#startedAt >= MAX_AGE_MS };
  }
}
