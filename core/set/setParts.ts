import type { Manifest } from './manifest.ts';
import type { ObjectKind } from './objects.ts';

/** The manifest of a set and those of its parts that a process holds. */
export type SetParts = {
  /** Digest of the manifest, which identifies the set. */
  readonly digest: string;
  readonly manifest: Manifest;
  /** Texts of the held parts by digest. */
  readonly texts: ReadonlyMap<string, string>;
};

/** The kinds of objects whose parts a process holds. */
export type KindScope = ReadonlySet<ObjectKind>;

/** The kinds that sidecars hold: no adapters or callers, but operators, for their admin API. */
export const SIDECAR_SCOPE: KindScope = new Set([
  'pool',
  'backend_server',
  'service',
  'limit',
  'operator',
] as const);

/** Returns the digests of the parts in a scope that are not held. */
export function missingParts(setParts: SetParts, scope: KindScope): readonly string[] {
  const partsInScope = setParts.manifest.filter(({ kind }) => scope.has(kind));
  const missing = partsInScope.filter(({ digest }) => !setParts.texts.has(digest));
  return [...new Set(missing.map(({ digest }) => digest))];
}
