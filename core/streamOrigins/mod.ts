/** Where streams began, so that other processes can continue them at the same software version. @module */
export { OriginLedger } from './originLedger.ts';
export { OriginLookup } from './originLookup.ts';
export type { OriginAnswer, OriginLookupOptions, OriginQuery } from './originLookup.ts';
export { chooseHolders } from './chooseHolders.ts';
export type { StreamKey, StreamOrigin } from './streamOrigin.ts';
export { VersionHistory } from './versionHistory.ts';
