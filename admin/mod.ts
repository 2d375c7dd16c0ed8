/** The read-only administration API of a process, and its client. @module */
export { readAdmin } from './adminClient.ts';
export type { AdminResult } from './adminClient.ts';
export type { AdminLists, AdminSource } from './adminSource.ts';
export { createAdminHandler } from './createAdminHandler.ts';
export type { AdminHandlerOptions } from './createAdminHandler.ts';
export { createEntrySource } from './createEntrySource.ts';
export { readBurnSnapshots } from './readBurnSnapshots.ts';
export type { BurnSnapshotsResult } from './readBurnSnapshots.ts';
export { RecentEvents } from './recentEvents.ts';
export { createSidecarSource } from './createSidecarSource.ts';
