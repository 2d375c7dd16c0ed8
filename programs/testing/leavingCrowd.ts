import { Worker } from 'node:worker_threads';
import type { Milliseconds } from '../../core/clock/mod.ts';

/** Options of `startLeavingCrowd`. */
export type LeavingCrowdOptions = {
  readonly ip: string;
  readonly port: number;
  /** New connections a second. */
  readonly perSecond: number;
  /** Time after which a caller closes its connection, answered or not. */
  readonly leaveAfterMs: Milliseconds;
  /** What each caller sends. */
  readonly request: string;
};

const CROWD = `
  const { connect } = require('node:net');
  const { ip, port, perSecond, leaveAfterMs, request } = require('node:worker_threads').workerData;
  const beganAt = performance.now();
  let opened = 0;
  setInterval(() => {
    const due = ((performance.now() - beganAt) * perSecond) / 1000;
    for (; opened < due; opened += 1) {
      const socket = connect(port, ip, () => socket.write(request));
      socket.on('error', () => undefined).resume();
      setTimeout(() => socket.destroy(), leaveAfterMs);
    }
  }, 5);
`;

/** Starts callers, in a thread of their own, that leave soon after they have sent a request. */
export function startLeavingCrowd(options: LeavingCrowdOptions): Worker {
  return new Worker(CROWD, { eval: true, workerData: options });
}
