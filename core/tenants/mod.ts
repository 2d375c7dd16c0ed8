/** Who sends a request: tenants by their keys. @module */
export { identifyCaller } from './identifyCaller.ts';
export type { CallerIdentity, CallerIdentityInputs } from './identifyCaller.ts';
export { priorityOf } from './priorityOf.ts';
