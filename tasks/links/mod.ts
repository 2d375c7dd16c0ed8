/** Links between processes that detect silence and reconnect. @module */
export { ReconnectingLinks } from './reconnectingLinks.ts';
export type { ReconnectingLinksOptions } from './reconnectingLinks.ts';
