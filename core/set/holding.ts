import type { Manifest } from './manifest.ts';
import type { ObjectKind } from './objects.ts';

/** The parts of one set as a process holds them. */
export type Holding = {
  /** The digest that names the set. */
  readonly digest: string;
  readonly manifest: Manifest;
  /** The text of each held part by its digest. */
  readonly texts: ReadonlyMap<string, string>;
};

/** The kinds of objects whose parts a process holds. */
export type Scope = ReadonlySet<ObjectKind>;

/** What a sidecar needs: neither adapters nor callers, but the operators who may read it. */
export const SIDECAR_SCOPE: Scope = new Set([
  'pool',
  'backend_server',
  'service',
  'limit',
  'operator',
] as const);

/** Returns the digests of the parts that a scope wants and that are not held. */
export function missingParts(holding: Holding, scope: Scope): readonly string[] {
  const wanted = holding.manifest.filter(({ kind }) => scope.has(kind));
  const missing = wanted.filter(({ digest }) => !holding.texts.has(digest));
  return [...new Set(missing.map(({ digest }) => digest))];
}
