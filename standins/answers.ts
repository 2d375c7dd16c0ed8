import { hashText } from '../core/placement/mod.ts';
import type { AdapterVersion } from '../core/identity/mod.ts';

const WORDS = ['caja', 'folio', 'legajo', 'aleta', 'flujo', 'banco', 'tomo', 'plano'] as const;

/**
 * Returns one token of the answer that a stand-in engine gives.
 *
 * @param adapterVersion What serves the request.
 * @param prompt The request's prompt.
 * @param index The token's number, from 0.
 */
export function answerToken(adapterVersion: AdapterVersion, prompt: string, index: number): string {
  const hash = hashText(`${adapterVersion} ${prompt}`, index);
  return `${WORDS[hash % WORDS.length]}${index} `;
}

/** Returns the whole answer that a stand-in engine gives. */
export function wholeAnswer(
  adapterVersion: AdapterVersion,
  prompt: string,
  maxTokens: number,
): string {
  return Array.from({ length: maxTokens }, (_, index) =>
    answerToken(adapterVersion, prompt, index),
  ).join('');
}
