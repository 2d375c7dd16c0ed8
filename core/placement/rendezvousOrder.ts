import murmurhash from 'murmurhash';

/** Returns the unsigned 32-bit MurmurHash3 of a text. */
export function hashText(text: string, seed = 0): number {
  return murmurhash.v3(text, seed);
}

/**
 * Orders candidates by rendezvous hashing. Every process computes the same order for a key, and
 * adding or removing a candidate moves only the keys that rank it first.
 *
 * @param key The key to place.
 * @param candidates The names of the candidates.
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

/** A candidate and its weight; one with twice the weight ranks first for twice as many keys. */
export type WeightedCandidate = { readonly name: string; readonly weight: number };

/** Number of values of a 32-bit hash. */
const HASH_VALUES = 2 ** 32;

/**
 * Orders candidates by weighted rendezvous hashing: each ranks first for a share of the keys in
 * proportion to its weight.
 *
 * @param key The key to place.
 * @param candidates The candidates, with weights above 0.
 * @returns The names of the candidates, the preferred one first.
 */
export function weightedRendezvousOrder(
  key: string,
  candidates: readonly WeightedCandidate[],
): readonly string[] {
  const seed = hashText(key);
  return candidates
    .map(({ name, weight }) => {
      // Strictly between 0 and 1, so that the logarithm is finite and below 0.
      const point = (hashText(name, seed) + 0.5) / HASH_VALUES;
      return { name, score: -weight / Math.log(point) };
    })
    .sort((a, b) => b.score - a.score || (a.name < b.name ? -1 : 1))
    .map(({ name }) => name);
}
