/** Links between entries and sidecars: the frames and the state machines of both sides. @module */
export { DEFAULT_LINK_TIMING, EntryLink } from './entryLink.ts';
export type {
  EntryLinkAction,
  EntryLinkOptions,
  Epoch,
  LinkHealth,
  LinkTiming,
} from './entryLink.ts';
export { LINK_VERSION } from './frames.ts';
export type * from './frames.ts';
export { deadlineFromBudget } from './deadline.ts';
export type { RequestBudget } from './deadline.ts';
export { computeProof, proofsMatch } from './proof.ts';
export type { Handshake } from './proof.ts';
export { SidecarLinks } from './sidecarLink.ts';
export type {
  ConnectionNumber,
  SidecarLinksAction,
  SidecarLinksOptions,
  SidecarStatus,
} from './sidecarLink.ts';
