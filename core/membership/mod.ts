/** Which hosts there are and which of them may get work. @module */
export { Membership } from './membership.ts';
export type { ListedHost, MembershipChange } from './membership.ts';
