import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { readdirSync, readFileSync } from 'node:fs';
import { setTimeout as sleep } from 'node:timers/promises';

/** Address of a server. */
export type CrowdTarget = {
  readonly ip: string;
  readonly port: number;
  /** Path of requests with a body. */
  readonly path: string;
  /** Path of requests without one. */
  readonly emptyPath: string;
  /** A further header line. @default none */
  readonly header?: string;
};

/** Many clients that do not keep to the usual form of requests. */
export type Crowd = {
  readonly clients: number;
  /** Returns the bytes that a client sends first. */
  readonly begin: (target: CrowdTarget) => string;
  /** What it sends after that, again and again. */
  readonly repeat: (target: CrowdTarget) => Buffer;
  /** How often it sends that. @default until the time is over */
  readonly times?: number;
  /** What it sends last, and again on a new connection once this one is closed. @default nothing */
  readonly end?: string;
};

const LINE = '\r\n';

const BODY_BYTES = 4_190_000;

const PIECE_BYTES = 65_536;

const TINY_CHUNKS_PER_PIECE = 4000;

/** Returns the rest of a request line and its first headers. */
const headOf = (path: string, { header = 'X-A: b' }: CrowdTarget): string =>
  `${path} HTTP/1.1${LINE}Host: house.example${LINE}${header}${LINE}`;

const beginBody = (target: CrowdTarget, framing: string): string =>
  `POST ${headOf(target.path, target)}${framing}${LINE}${LINE}`;

const CHUNKED = 'Transfer-Encoding: chunked';

const TINY_CHUNKS = Buffer.from(`1${LINE}a${LINE}`.repeat(TINY_CHUNKS_PER_PIECE));

/** The chunks of a large body without the last one. */
const LARGE_CHUNKS = Buffer.from(
  `${PIECE_BYTES.toString(16)}${LINE}${'a'.repeat(PIECE_BYTES)}${LINE}`.repeat(
    Math.floor(BODY_BYTES / PIECE_BYTES),
  ),
);

/** Clients whose requests never end, or stop just short of their end. */
export const CROWDS: Readonly<Record<string, Crowd>> = {
  'requests pipelined without end': {
    clients: 30,
    begin: () => '',
    repeat: (target) => Buffer.from(`GET ${headOf(target.emptyPath, target)}${LINE}`.repeat(500)),
  },
  'large bodies that stop short of their end': {
    clients: 60,
    begin: (target) => beginBody(target, `Content-Length: ${BODY_BYTES}`),
    repeat: () => Buffer.alloc(PIECE_BYTES, 'a'),
    times: Math.floor(BODY_BYTES / PIECE_BYTES),
  },
  'bodies in large chunks that stop short of their end': {
    clients: 60,
    begin: (target) => beginBody(target, CHUNKED),
    repeat: () =>
      Buffer.from(`${PIECE_BYTES.toString(16)}${LINE}${'a'.repeat(PIECE_BYTES)}${LINE}`),
    times: Math.floor(BODY_BYTES / PIECE_BYTES),
  },
  'bodies in chunks of a byte that stop short of their end': {
    clients: 60,
    begin: (target) => beginBody(target, CHUNKED),
    repeat: () => TINY_CHUNKS,
    times: 120,
  },
  'bodies in large chunks that end in an invalid one': {
    clients: 800,
    begin: (target) => beginBody(target, CHUNKED),
    repeat: () => LARGE_CHUNKS,
    times: 1,
    end: `no chunk${LINE}`,
  },
  'bodies in chunks of a byte from many clients': {
    clients: 800,
    begin: (target) => beginBody(target, CHUNKED),
    repeat: () => TINY_CHUNKS,
    times: 120,
  },
  'heads without end': {
    clients: 60,
    begin: ({ path }) => `GET ${path} HTTP/1.1${LINE}`,
    repeat: () => Buffer.from(`X-A: ${'a'.repeat(1000)}${LINE}`),
  },
  'heads that stop short of their end': {
    clients: 600,
    begin: ({ path }) => `GET ${path} HTTP/1.1${LINE}`,
    repeat: () => Buffer.from(`X-A: ${'a'.repeat(990)}${LINE}`),
    times: 15,
  },
  'empty lines without end': {
    clients: 60,
    begin: () => '',
    repeat: () => Buffer.from(LINE.repeat(8000)),
  },
};

/** Time for which clients open connections. */
const SENDING_MS = 4000;

/** Resolves with an event of a socket, with its close, or after a time. */
function waitFor(socket: Socket, event: 'drain' | 'close', maxMs?: number): Promise<void> {
  return new Promise((resolve) => {
    const timer = maxMs === undefined ? undefined : setTimeout(resolve, maxMs);
    const settle = (): void => {
      clearTimeout(timer);
      socket.off('drain', settle);
      socket.off('close', settle);
      resolve();
    };
    socket.once(event, settle);
    socket.once('close', settle);
  });
}

/** Sends on one connection; resolves when it is closed, or all is sent and it stays open. */
async function sendOn(socket: Socket, crowd: Crowd, target: CrowdTarget): Promise<void> {
  const { begin, repeat, times = Infinity, end } = crowd;
  const bytes = repeat(target);
  socket.write(begin(target));
  for (let count = 0; count < times && !socket.destroyed; count += 1) {
    const canWrite = socket.write(bytes);
    if (canWrite) await sleep(0);
    else await waitFor(socket, 'drain');
  }
  if (end !== undefined) socket.write(end);
}

/**
 * Lets a crowd send, and calls `check` while its connections are open. Clients whose connections are closed
 * open new ones for a while.
 */
export async function withCrowd(
  crowd: Crowd,
  target: CrowdTarget,
  check: () => Promise<void>,
): Promise<void> {
  const sockets = new Set<Socket>();
  const endAt = performance.now() + SENDING_MS;

  async function runClient(): Promise<void> {
    while (performance.now() < endAt) {
      const socket = connect(target.port, target.ip);
      sockets.add(socket);
      socket.on('error', () => undefined);
      socket.once('close', () => sockets.delete(socket));
      // Responses are read and discarded.
      socket.resume();
      await sendOn(socket, crowd, target);
      if (!socket.destroyed) await waitFor(socket, 'close', SENDING_MS);
    }
  }

  const clients = Array.from({ length: crowd.clients }, () => runClient());
  try {
    await sleep(SENDING_MS);
    await check();
  } finally {
    sockets.forEach((socket) => socket.destroy());
    await Promise.all(clients);
  }
}

/** Most memory that a process has had, in megabytes. */
export function peakMemoryMb(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  return (Number(/VmHWM:\s+(\d+)/.exec(status)?.[1]) * 1024) / 1_000_000;
}

/** Number of open descriptors of a process. */
export function openDescriptors(pid: number): number {
  return readdirSync(`/proc/${pid}/fd`).length;
}
