import { Worker } from 'node:worker_threads';

/** How the callers leave once their requests are sent. */
export type Departure = 'stay' | 'close' | 'reset';

/** Options of `queueConnections`. */
export type QueueConnectionsOptions = {
  readonly port: number;
  readonly count: number;
  /** Returns the bytes that the caller with this index sends. */
  readonly request: (index: number) => string;
  /** Returns how the caller with this index leaves. @default stays */
  readonly departure?: (index: number) => Departure;
};

/** Connections that the kernel has completed and this thread has not accepted. */
export type QueuedConnections = {
  /** Resolves with what each caller received, once all connections have closed. */
  readonly closed: Promise<readonly string[]>;
};

const CALLERS = `
  const { connect } = require('node:net');
  const { parentPort, workerData } = require('node:worker_threads');
  const { port, requests, departures, flag } = workerData;
  const received = requests.map(() => '');
  let unsent = requests.length;
  let open = requests.length;
  function noteSent() {
    unsent -= 1;
    if (unsent > 0) return;
    Atomics.store(flag, 0, 1);
    Atomics.notify(flag, 0);
  }
  const departureHandlers = {
    stay: (socket, text) => socket.write(text, noteSent),
    close: (socket, text) => socket.end(text, noteSent),
    reset: (socket, text) => {
      socket.once('close', noteSent);
      socket.write(text, () => socket.resetAndDestroy());
    },
  };
  requests.forEach((text, index) => {
    const socket = connect(port, '127.0.0.1', () => departureHandlers[departures[index]](socket, text));
    socket.on('error', () => undefined);
    socket.on('data', (chunk) => { received[index] += chunk.toString('latin1'); });
    socket.on('close', () => {
      open -= 1;
      if (open === 0) parentPort.postMessage(received);
    });
  });
`;

/**
 * Opens connections to a server of this thread and sends a request on each, while this thread is
 * blocked: afterwards they wait in the listen queue, with the request and the close behind it.
 */
export function queueConnections(options: QueueConnectionsOptions): QueuedConnections {
  const { port, count, request, departure = () => 'stay' } = options;
  const flag = new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT));
  const requests = Array.from({ length: count }, (_, index) => request(index));
  const departures = requests.map((_, index) => departure(index));
  const worker = new Worker(CALLERS, {
    eval: true,
    workerData: { port, requests, departures, flag },
  });
  const closed = new Promise<readonly string[]>((resolve, reject) => {
    worker.once('error', reject);
    worker.once('message', resolve);
  });
  Atomics.wait(flag, 0, 0);
  return { closed };
}
