/** The gateway of an entry process: proxies callers' requests to backend servers. @module */
export { Gateway } from './gateway.ts';
export type { GatewayOptions } from './gatewayOptions.ts';
export { PeerTask } from './peerTask.ts';
export type {
  Mirrors,
  PeerServices,
  PeerTaskOptions,
  SharedState,
  SharedStates,
} from './peerTask.ts';
export { StoreTask, WATCH_WAIT_MS } from './storeTask.ts';
export type { RecordStore, StoreTaskOptions } from './storeTask.ts';
export { StoreReaderTask } from './storeReaderTask.ts';
export type { StoreReaderTaskOptions } from './storeReaderTask.ts';
export { LoadSheddingTask } from './loadSheddingTask.ts';
export type { LoadSheddingTaskOptions } from './loadSheddingTask.ts';
