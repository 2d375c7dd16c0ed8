/** The listed hosts and whether each may take work. @module */
export { chooseWatchers, isWatcher, WATCHERS_PER_ZONE } from './chooseWatchers.ts';
export { Membership } from './membership.ts';
export type { ListedHost, MembershipChange } from './membership.ts';
