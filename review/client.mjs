/* eslint-disable @typescript-eslint/explicit-module-boundary-types -- plain JavaScript, so that nothing is built */
// A client: one request, and what it saw.
import { request as openRequest } from 'node:http';
import { sleep } from './base.mjs';

let lastId = 0;

/** Returns the id of a new client attempt. */
export function newId() {
  lastId += 1;
  return `c${process.pid.toString(16)}${lastId.toString(16).padStart(6, '0')}`;
}

/**
 * Sends a request. Resolves with `status` and `body` of a complete answer, or with `error`, `isCut` or
 * `hasGivenUp`; `isKept` tells that the channel had carried an earlier request.
 */
export function send(options) {
  const { address, path, method = 'GET', body, deadlineMs = 2500, agent = false } = options;
  const { host = 'house.example', id = newId() } = options;
  const [hostname, port] = address.split(':');
  const sentAt = Date.now();
  const headers = { host, 'x-request-id': id, 'x-deadline-ms': String(deadlineMs) };
  return new Promise((resolve) => {
    let isKept = false;
    let timer;
    const end = (seen) => {
      clearTimeout(timer);
      resolve({ id, path, sentAt, isKept, tookMs: Date.now() - sentAt, ...seen });
    };
    const request = openRequest(
      { hostname, port, method, path, agent, headers: { ...headers, ...options.headers } },
      (response) => {
        const chunks = [];
        response.on('data', (chunk) => chunks.push(chunk));
        response.on('error', () => end({ isCut: true, error: 'cut' }));
        response.on('end', () =>
          end({
            status: response.statusCode,
            headers: response.headers,
            body: Buffer.concat(chunks).toString(),
          }),
        );
      },
    );
    timer = setTimeout(() => {
      request.destroy();
      end({ hasGivenUp: true });
    }, deadlineMs);
    request.on('socket', () => {
      isKept = request.reusedSocket;
    });
    request.on('error', (error) => end({ error: error.code ?? String(error) }));
    request.end(body);
  });
}

/** Waits until a process says that it is ready; returns whether it did. */
export async function waitReady(address, ms = 10_000) {
  const until = Date.now() + ms;
  while (Date.now() < until) {
    const { status } = await send({ address, path: '/hyssopspread/readiness', deadlineMs: 500 });
    if (status === 200) return true;
    await sleep(50);
  }
  return false;
}
