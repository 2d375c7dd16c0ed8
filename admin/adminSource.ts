import type { BurnSnapshot } from '../core/burn/mod.ts';
import type { PublishedSet } from '../core/set/mod.ts';
import type { Row } from './_paging.ts';

/** Lists that a process can page through, by the last part of their address. */
export type AdminLists = Readonly<Record<string, (after: string) => Iterable<Row>>>;

/** What the administration API reads of its process. */
export type AdminSource = {
  readonly status: () => unknown;
  readonly burn: () => BurnSnapshot;
  /** The set in force, once there is one. */
  readonly set: () => PublishedSet | undefined;
  /** Whether the process holds all kinds of objects, so that it can compare sets. */
  readonly holdsWholeSet: boolean;
  readonly lists: AdminLists;
  /** Says where a model's requests would go and why; absent where nothing is placed. */
  readonly explain?: (model: string, tenant: string) => unknown;
};
