/** The keeper: the agent that manages one engine's models and adapters, and its messages. @module */
export { Keeper } from './keeper.ts';
export type { KeeperOptions, ManagedEngine } from './keeper.ts';
export { decodeEntryMessage, decodeKeeperMessage, encodeMessage } from './messages.ts';
export type { EntryMessage, KeeperMessage } from './messages.ts';
