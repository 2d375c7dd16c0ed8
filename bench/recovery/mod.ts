/** Measures recovery from faults in virtual time. @module */
export { RECOVERY_FAULTS } from './recoveryFaults.ts';
export type { RecoveryFaultName } from './recoveryFaults.ts';
export { measureRecovery } from './measureRecovery.ts';
export type { RecoveryRow } from './measureRecovery.ts';
export { missedTargets } from './missedTargets.ts';
