/** Links between processes that detect silence and reconnect. @module */
export { ReconnectingLinks } from './liveLinks.ts';
export type { ReconnectingLinksOptions } from './liveLinks.ts';
