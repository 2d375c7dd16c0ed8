/** Local mirrors of the store's records, which processes update from the store or from each other. @module */
export { RecordMirror } from './recordMirror.ts';
export type { MirrorUpdate, MirroredRecord } from './recordMirror.ts';
export { eraOf, MAX_ERA, positionOf } from './position.ts';
