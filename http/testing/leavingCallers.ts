import { once } from 'node:events';
import { Worker } from 'node:worker_threads';
import type { Milliseconds } from '../../core/clock/mod.ts';

/** Options of `connectLeavingCallers`. */
export type LeavingCallersOptions = {
  readonly port: number;
  readonly count: number;
  /** Time between the requests of two callers. */
  readonly intervalMs: Milliseconds;
  /** How long a caller waits for its response before it leaves. */
  readonly patienceMs: Milliseconds;
  /** Returns the bytes that the caller with this index sends. */
  readonly request: (index: number) => string;
};

/** Callers in a thread of their own, whose connections are open. */
export type LeavingCallers = {
  /**
   * Has the callers send their requests. Resolves once all have left, with the time that each waited for the
   * first byte of its response; `undefined` if it got none.
   */
  readonly send: () => Promise<readonly (Milliseconds | undefined)[]>;
};

const CALLERS = `
  const { connect } = require('node:net');
  const { parentPort, workerData } = require('node:worker_threads');
  const { port, requests, intervalMs, patienceMs } = workerData;
  let open = 0;
  let left = 0;
  const waits = requests.map(() => undefined);
  const sockets = requests.map(() => {
    const socket = connect(port, '127.0.0.1', () => {
      open += 1;
      if (open === requests.length) parentPort.postMessage('open');
    });
    socket.on('error', () => undefined);
    return socket;
  });
  parentPort.once('message', () => {
    requests.forEach((text, index) => {
      const sendAfterMs = index * intervalMs;
      setTimeout(() => {
        const sentAt = performance.now();
        sockets[index].write(text);
        sockets[index].on('data', () => { waits[index] ??= performance.now() - sentAt; });
      }, sendAfterMs);
      setTimeout(() => {
        sockets[index].destroy();
        left += 1;
        if (left === requests.length) parentPort.postMessage(waits);
      }, sendAfterMs + patienceMs);
    });
  });
`;

/** Connects callers that send one request each and leave soon after. For tests only. */
export async function connectLeavingCallers(
  options: LeavingCallersOptions,
): Promise<LeavingCallers> {
  const { port, count, intervalMs, patienceMs, request } = options;
  const requests = Array.from({ length: count }, (_, index) => request(index));
  const worker = new Worker(CALLERS, {
    eval: true,
    workerData: { port, requests, intervalMs, patienceMs },
  });
  await once(worker, 'message');
  return {
    send: async () => {
      const left = once(worker, 'message');
      worker.postMessage('send');
      const [waits] = await left;
      await worker.terminate();
      return waits as readonly (Milliseconds | undefined)[];
    },
  };
}
