import { hashText } from '../core/placement/mod.ts';
import type { AdapterVersion } from '../core/identity/mod.ts';

const VOCABULARY = ['caja', 'folio', 'legajo', 'aleta', 'flujo', 'banco', 'tomo', 'plano'] as const;

/**
 * Returns one token of a stand-in engine's completion. It depends on the arguments alone, so that
 * tests can predict every completion.
 *
 * @param adapterVersion The adapter version that serves the request.
 * @param prompt Prompt of the request.
 * @param index Index of the token, from 0.
 */
export function completionToken(
  adapterVersion: AdapterVersion,
  prompt: string,
  index: number,
): string {
  const hash = hashText(`${adapterVersion} ${prompt}`, index);
  return `${VOCABULARY[hash % VOCABULARY.length]}${index} `;
}

/** Returns the complete text of a stand-in engine's completion. */
export function completionText(
  adapterVersion: AdapterVersion,
  prompt: string,
  maxTokens: number,
): string {
  return Array.from({ length: maxTokens }, (_, index) =>
    completionToken(adapterVersion, prompt, index),
  ).join('');
}
