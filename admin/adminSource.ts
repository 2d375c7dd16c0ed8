import type { BurnSnapshot } from '../core/burn/mod.ts';
import type { PublishedSet } from '../core/set/mod.ts';
import type { Row } from './_paging.ts';

/** Paged lists of a process, by the last segment of their path. */
export type AdminLists = Readonly<Record<string, (after: string) => Iterable<Row>>>;

/** The data of a process that the administration API serves. */
export type AdminSource = {
  readonly status: () => unknown;
  readonly burn: () => BurnSnapshot;
  /** Returns the set in force, or `undefined` before the first. */
  readonly set: () => PublishedSet | undefined;
  /** Whether the process holds the whole set, which comparing a proposal needs. */
  readonly holdsWholeSet: boolean;
  readonly lists: AdminLists;
  /** Explains the routing of a model's requests; absent in processes that route none. */
  readonly explain?: (model: string, tenant: string) => unknown;
};
