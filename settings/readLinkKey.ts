import { readFileSync } from 'node:fs';

/** Where the link keys are stored: an environment variable or a file. */
export type LinkKeySource = {
  readonly key_env?: string | undefined;
  readonly key_file?: string | undefined;
};

/** The link keys, or why they cannot be used. */
export type LinkKeyResult =
  | { readonly kind: 'keys'; readonly keys: readonly string[] }
  | { readonly kind: 'problem'; readonly message: string };

const MIN_KEY_LENGTH = 32;

const MIN_DISTINCT_CHARACTERS = 8;

function readSource(source: LinkKeySource): string | undefined {
  if (source.key_env !== undefined) return process.env[source.key_env];
  try {
    return readFileSync(source.key_file ?? '', 'utf8');
  } catch {
    return undefined;
  }
}

function isWeak(key: string): boolean {
  return key.length < MIN_KEY_LENGTH || new Set(key).size < MIN_DISTINCT_CHARACTERS;
}

/**
 * Reads the link keys, separated by white space. Links accept all of them and sign with the first.
 *
 * @param source The `[link]` section.
 */
export function readLinkKey(source: LinkKeySource): LinkKeyResult {
  const text = readSource(source);
  if (text === undefined) {
    return {
      kind: 'problem',
      message:
        'the link key cannot be read; set the environment variable or make the file readable',
    };
  }
  const keys = text.split(/\s+/).filter((key) => key !== '');
  if (keys.length === 0 || keys.some(isWeak)) {
    const requirement = `at least ${MIN_KEY_LENGTH} random characters`;
    return { kind: 'problem', message: `a link key is too weak; use ${requirement}` };
  }
  return { kind: 'keys', keys };
}
