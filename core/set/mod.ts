/** The published set: its objects, checks and packed form. @module */
export { checkSet } from './checkSet.ts';
export type { SetCheck } from './checkSet.ts';
export { OBJECT_KINDS, OPERATOR_SCOPES } from './objects.ts';
export type * from './objects.ts';
export { HEAD_NAME, MAX_VALUE_BYTES, packSet, partName, setDigest, sha256 } from './packSet.ts';
export type { PackedSet, PackedValue, SetHead } from './packSet.ts';
export { parseSet } from './parseSet.ts';
export type { Declaration, ParsedSet, SetFile } from './parseSet.ts';
export { indexSet } from './publishedSet.ts';
export type { PublishedSet } from './publishedSet.ts';
export { resolveModel } from './resolveModel.ts';
export type { ResolvedModel } from './resolveModel.ts';
export { parseHead, unpackSet } from './unpackSet.ts';
export type { UnreadableValue } from './unpackSet.ts';
export type { SetStamp } from '../link/mod.ts';
