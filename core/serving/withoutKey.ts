/** Shortest key that is looked for in other texts; a shorter one occurs in them by chance. */
const MIN_KEY_LENGTH = 4;

const WORD_CHARACTER = /[A-Za-z0-9]/;

function isWordCharacter(text: string, index: number): boolean {
  const character = text[index];
  return character !== undefined && WORD_CHARACTER.test(character);
}

/** Returns where a key begins in a text, as a whole word; -1 if it does not occur. */
function indexOfKey(text: string, key: string): number {
  if (key.length < MIN_KEY_LENGTH) return -1;
  for (let at = text.indexOf(key); at >= 0; at = text.indexOf(key, at + 1)) {
    if (!isWordCharacter(text, at - 1) && !isWordCharacter(text, at + key.length)) return at;
  }
  return -1;
}

/** Whether a text contains a caller's key, such as `Bearer KEY`. */
export function containsKey(text: string, key: string): boolean {
  return indexOfKey(text, key) >= 0;
}

/** Returns a text without the caller's key, for texts that are logged or sent to other entries. */
export function withoutKey(text: string, key: string | undefined): string {
  const at = key === undefined ? -1 : indexOfKey(text, key);
  if (key === undefined || at < 0) return text;
  return `${text.slice(0, at)}${withoutKey(text.slice(at + key.length), key)}`;
}
