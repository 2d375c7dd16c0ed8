import { readBurnSnapshot } from '../core/burn/mod.ts';
import type { BurnSnapshot } from '../core/burn/mod.ts';
import { readAdmin } from './adminClient.ts';
import type { ReadAdminOptions } from './adminClient.ts';

/** The snapshots that were read, and why others were not. */
export type BurnReading = {
  readonly snapshots: readonly BurnSnapshot[];
  readonly problems: readonly string[];
};

/**
 * Reads the burn snapshots of many processes at the same time.
 *
 * @param urls `http://ip:port` of each process's administration API.
 */
export async function readBurnSnapshots(
  urls: readonly string[],
  options: ReadAdminOptions = {},
): Promise<BurnReading> {
  const readings = await Promise.all(urls.map((url) => readAdmin(url, '/admin/v1/burn', options)));
  const snapshots: BurnSnapshot[] = [];
  const problems: string[] = [];
  readings.forEach((reading, index) => {
    const snapshot = reading.kind === 'answer' ? readBurnSnapshot(reading.value) : undefined;
    const detail = reading.kind === 'answer' ? 'its answer is of another version' : reading.detail;
    if (snapshot === undefined) problems.push(`${urls[index]}: ${detail}`);
    else snapshots.push(snapshot);
  });
  return { snapshots, problems };
}
