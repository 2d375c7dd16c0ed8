/** How old a process's copies of the store's records may be, and which processes read the store. @module */
export { ConfigurationAge } from './configurationAge.ts';
export { PeerProofs } from './peerProofs.ts';
export type { PeerProof, ProofOfPrefix, ProvenMirror } from './peerProofs.ts';
export { NOTICE_INTERVAL_MS, StoreReaders } from './storeReaders.ts';
export type { ReaderNotice, StoreReadersOptions } from './storeReaders.ts';
