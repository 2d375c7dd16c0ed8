/** Which parts of prompts each server is estimated to hold in its memory. @module */
export { PromptCacheBelief, promptPrefix } from './promptCacheBelief.ts';
export type { HeldTokens, PromptPrefix } from './promptCacheBelief.ts';
