/** Copies of what entries tell each other, kept by processes that outlive the entries. @module */
export { FactCopies } from './factCopies.ts';
export { agedFacts } from './agedFacts.ts';
export type { FactCopy } from './agedFacts.ts';
