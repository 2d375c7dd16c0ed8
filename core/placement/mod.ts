/** Where requests go. @module */
export { chooseBackendServer } from './chooseBackendServer.ts';
export type { Candidate } from './chooseBackendServer.ts';
export { hashText, rendezvousOrder } from './rendezvousOrder.ts';
