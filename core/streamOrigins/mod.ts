/** Where streams began, so that other processes can continue them at the same software version. @module */
export { OriginLedger } from './originLedger.ts';
export { OriginLookup } from './originLookup.ts';
export type {
  OriginAnswer,
  OriginLookupOptions,
  OriginQuery,
  OriginResult,
} from './originLookup.ts';
export { chooseAsked, chooseHolders, chooseOriginHolders } from './chooseHolders.ts';
export type { ChooseHoldersOptions, HolderCandidates, ServerKeeper } from './chooseHolders.ts';
export type { StreamKey, StreamOrigin } from './streamOrigin.ts';
export { agreedVersion, VersionHistory } from './versionHistory.ts';
export type { VersionSummary } from './versionHistory.ts';
