// Small stand-ins of the platform, of workers and of clients, and the real processes beside them.
export { addressOf, finish, Record, removeFolder, sleep, temporaryFolder } from './base.mjs';
export { newId, send, waitReady } from './client.mjs';
export { configuration, newEntry, Program } from './programs.mjs';
export { Store } from './store.mjs';
export { Worker } from './worker.mjs';
