/** The task that serves callers in front of the published backend servers. @module */
export { Gateway } from './gateway.ts';
export type { GatewayOptions } from './gateway.ts';
export { StoreTask } from './storeTask.ts';
export type { RecordStore, StoreNews, StoreTaskOptions } from './storeTask.ts';
