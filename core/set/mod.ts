/**
 * The configuration set that operators publish as a whole: its objects, validation, and the packed
 * form in which the configuration service stores it.
 *
 * @module
 */
export { GenerationTracker } from './generationTracker.ts';
export type { SetConflict, StampStatus } from './generationTracker.ts';
export { checkSet } from './checkSet.ts';
export type { SetCheckResult } from './checkSet.ts';
export { compareByName } from './compareByName.ts';
export type { NameDifference } from './compareByName.ts';
export {
  applyDifference,
  computeDifference,
  formatDifference,
  parseDifference,
} from './difference.ts';
export type { PartDifference, SetDifference } from './difference.ts';
export { missingParts, SIDECAR_SCOPE } from './setParts.ts';
export type { SetParts, KindScope } from './setParts.ts';
export { formatManifest, manifestDigest, parseManifest } from './manifest.ts';
export type { Manifest, Part } from './manifest.ts';
export { OBJECT_KINDS, OPERATOR_SCOPES } from './objects.ts';
export type * from './objects.ts';
export { PackedTable } from './packedTable.ts';
export {
  differenceName,
  HEAD_NAME,
  packParts,
  manifestName,
  MAX_VALUE_BYTES,
  packSet,
  partName,
} from './packSet.ts';
export type { PackedSet, PackedValue, SetHead } from './packSet.ts';
export { parseSet } from './parseSet.ts';
export type { Declaration, ParsedSet, SetFile } from './parseSet.ts';
export { buildSet, indexSet } from './publishedSet.ts';
export type { BuiltSet, PublishedSet, SetTable } from './publishedSet.ts';
export { resolveModel } from './resolveModel.ts';
export type { ResolvedModel } from './resolveModel.ts';
export { sha256 } from './sha256.ts';
export { parseHead, unpackSet } from './unpackSet.ts';
export type { ReadValue, UnreadableValue } from './unpackSet.ts';
export type { SetStamp } from '../link/mod.ts';
