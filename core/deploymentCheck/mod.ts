/** Checks of an operator's configuration before it is published. @module */
export { checkDeployment } from './checkDeployment.ts';
export type { DeploymentCheckOptions, Finding, TenantKeys } from './checkDeployment.ts';
export { compareDeployments } from './compareDeployments.ts';
export type { CheckedDeployment } from './compareDeployments.ts';
