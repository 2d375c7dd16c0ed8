/** Fault injection at chosen frames of a session. @module */
export { FRAME_FAULTS } from './frameFaults.ts';
export type { FrameFault, FrameFaultName } from './frameFaults.ts';
export { runWithFaults } from './runWithFaults.ts';
export type { FaultAtFrame, FaultRunResult } from './runWithFaults.ts';
export { SWEEP_SESSION } from './sweepSession.ts';
