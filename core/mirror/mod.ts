/** Copies of the store's records that processes compare and bring forward. @module */
export { RecordMirror } from './recordMirror.ts';
export type { MirrorNews, MirroredRecord } from './recordMirror.ts';
