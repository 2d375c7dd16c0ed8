/** Links between processes that notice silence and are dialled anew. @module */
export { LiveLinks } from './liveLinks.ts';
export type { LiveLinksOptions } from './liveLinks.ts';
