import { OBJECT_KINDS } from './objects.ts';
import type { ObjectKind } from './objects.ts';
import { sha256 } from './sha256.ts';

/** One part of a set: the objects of one kind in one hash bucket. */
export type Part = {
  readonly kind: ObjectKind;
  /** SHA-256 of the part's text, in hexadecimal. */
  readonly digest: string;
};

/** All parts of a set, grouped by kind, then in the order of their buckets. */
export type Manifest = readonly Part[];

const PART_LINE = /^([a-z_]+) ([0-9a-f]{64})$/;

/** Formats a manifest as text, one part a line. */
export function formatManifest(manifest: Manifest): string {
  return manifest.map(({ kind, digest }) => `${kind} ${digest}`).join('\n');
}

/**
 * Parses a manifest.
 *
 * @returns The parts, or `undefined` when the text is not a manifest.
 */
export function parseManifest(text: string): Manifest | undefined {
  const parts: Part[] = [];
  for (const line of text.split('\n')) {
    const [, kind, digest = ''] = PART_LINE.exec(line) ?? [];
    const known = OBJECT_KINDS.find((each) => each === kind);
    if (known === undefined) return undefined;
    parts.push({ kind: known, digest });
  }
  return parts;
}

/** Returns the digest that identifies a set: the SHA-256 of its manifest. */
export function manifestDigest(manifest: Manifest): string {
  return sha256(formatManifest(manifest));
}
