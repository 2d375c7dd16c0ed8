import { readBurnSnapshot } from '../core/burn/mod.ts';
import type { BurnSnapshot } from '../core/burn/mod.ts';
import { readAdmin } from './adminClient.ts';
import type { ReadAdminOptions } from './adminClient.ts';

/** The snapshots that were read, and a problem for each process that could not be read. */
export type BurnSnapshotsResult = {
  readonly snapshots: readonly BurnSnapshot[];
  readonly problems: readonly string[];
};

/**
 * Reads the burn snapshots of several processes concurrently.
 *
 * @param urls `http://ip:port` of each process's administration API.
 */
export async function readBurnSnapshots(
  urls: readonly string[],
  options: ReadAdminOptions = {},
): Promise<BurnSnapshotsResult> {
  const results = await Promise.all(urls.map((url) => readAdmin(url, '/admin/v1/burn', options)));
  const snapshots: BurnSnapshot[] = [];
  const problems: string[] = [];
  results.forEach((result, index) => {
    const snapshot = result.kind === 'answer' ? readBurnSnapshot(result.value) : undefined;
    const detail =
      result.kind === 'answer'
        ? 'the response is of an unsupported version; run the same version on all hosts'
        : result.detail;
    if (snapshot === undefined) problems.push(`${urls[index]}: ${detail}`);
    else snapshots.push(snapshot);
  });
  return { snapshots, problems };
}
