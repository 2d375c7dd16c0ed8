import murmurhash from 'murmurhash';

/** Hashes a text to 32 bits. */
export function hashText(text: string, seed = 0): number {
  return murmurhash.v3(text, seed);
}

/**
 * Orders candidates by rendezvous hashing: the same key gives the same order everywhere, and a
 * candidate that comes or goes moves only the keys that it wins or won.
 *
 * @param key What is placed.
 * @param candidates The names among which it is placed.
 * @returns The candidates, the preferred one first.
 * @example
 * ```ts
 * rendezvousOrder('ixchel/fincas@2', ['a', 'b', 'c'])[0]; // always the same one
 * ```
 */
export function rendezvousOrder(key: string, candidates: readonly string[]): readonly string[] {
  const seed = hashText(key);
  return candidates
    .map((name) => ({ name, score: hashText(name, seed) }))
    .sort((a, b) => b.score - a.score || (a.name < b.name ? -1 : 1))
    .map(({ name }) => name);
}

/** A candidate and its weight; one with twice the weight wins twice as many keys. */
export type WeightedCandidate = { readonly name: string; readonly weight: number };

const HASHES = 2 ** 32;

/**
 * Orders candidates like `rendezvousOrder`, each winning a share of the keys in proportion to its weight.
 *
 * @param key What is placed.
 * @param candidates The names among which it is placed, with weights above 0.
 */
export function weightedRendezvousOrder(
  key: string,
  candidates: readonly WeightedCandidate[],
): readonly string[] {
  const seed = hashText(key);
  return candidates
    .map(({ name, weight }) => {
      const point = (hashText(name, seed) + 0.5) / HASHES;
      return { name, score: -weight / Math.log(point) };
    })
    .sort((a, b) => b.score - a.score || (a.name < b.name ? -1 : 1))
    .map(({ name }) => name);
}
