/** The task beside an engine that alone orders it, and the messages of its links to entries. @module */
export { Keeper } from './keeper.ts';
export type { KeeperOptions, KeptEngine } from './keeper.ts';
export { decodeEntryMessage, decodeKeeperMessage, encodeMessage } from './messages.ts';
export type { EntryMessage, KeeperMessage } from './messages.ts';
