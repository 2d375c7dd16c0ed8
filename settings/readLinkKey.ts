import { readFileSync } from 'node:fs';

/** Where the link key comes from. */
export type LinkKeySource = {
  readonly key_env?: string | undefined;
  readonly key_file?: string | undefined;
};

/** The outcome of reading the link key. */
export type LinkKeyReading =
  | { readonly kind: 'keys'; readonly keys: readonly string[] }
  | { readonly kind: 'problem'; readonly message: string };

const LEAST_KEY_LENGTH = 32;

const LEAST_DISTINCT_CHARACTERS = 8;

function readText(source: LinkKeySource): string | undefined {
  if (source.key_env !== undefined) return process.env[source.key_env];
  try {
    return readFileSync(source.key_file ?? '', 'utf8');
  } catch {
    return undefined;
  }
}

function isWeak(key: string): boolean {
  return key.length < LEAST_KEY_LENGTH || new Set(key).size < LEAST_DISTINCT_CHARACTERS;
}

/**
 * Reads the keys that links accept, one a line, the first of which signs.
 *
 * @param source The `[link]` section.
 */
export function readLinkKey(source: LinkKeySource): LinkKeyReading {
  const text = readText(source);
  if (text === undefined) {
    return {
      kind: 'problem',
      message: 'the link key cannot be read there; provide it there',
    };
  }
  const keys = text.split(/\s+/).filter((key) => key !== '');
  if (keys.length === 0 || keys.some(isWeak)) {
    const wanted = `at least ${LEAST_KEY_LENGTH} random characters`;
    return { kind: 'problem', message: `a link key there is weak; use ${wanted}` };
  }
  return { kind: 'keys', keys };
}
