import { once } from 'node:events';
import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import { pauseProcess } from '../transport/testing/pauseProcess.ts';
import { BackendConnections } from './mod.ts';

const BODY = 'hello';

const LENGTH = `HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n${BODY}`;

const TO_THE_CLOSE = `HTTP/1.1 200 OK\r\n\r\n${BODY}`;

/** Time after which a slow caller has read a chunk. */
const SLOW_READ_MS = 40;

/** How a server ends its connection once it has written. */
const ENDINGS: Readonly<Record<string, (socket: Socket) => void>> = {
  close: (socket) => socket.end(),
  reset: (socket) => socket.resetAndDestroy(),
  'late reset': (socket) => setTimeout(() => socket.resetAndDestroy(), SLOW_READ_MS / 4),
};

describe('a connection to a backend server that ends', () => {
  let server: Server;
  let connections: BackendConnections;
  let respond: (socket: Socket) => void;
  let sockets: Socket[];

  /** Sends a request; resolves with `whole` or `failed` and the body, or to `open` after a while. */
  function send(readMs = 0): Promise<string> {
    const request = { method: 'GET', path: '/', headers: [], body: Buffer.alloc(0) };
    let body = '';
    const result = new Promise<string>((resolve) => {
      const handle = connections.send(
        { ...request, needsRecentConnection: false },
        {
          head: () => true,
          data: (chunk) => {
            body += chunk.toString('latin1');
            if (readMs > 0) setTimeout(() => handle.resume(), readMs);
            return readMs === 0;
          },
          end: () => resolve(`whole ${body}`),
          failed: () => resolve(`failed ${body}`),
        },
      );
    });
    return Promise.race([result, sleep(1000, 'open', { ref: false })]);
  }

  /** Writes a text and ends the connection; both are read together. */
  function writeAndEnd(text: string, ending: string): (socket: Socket) => void {
    return (socket) => {
      socket.write(text, () => {
        ENDINGS[ending]!(socket);
        pauseProcess(2);
      });
    };
  }

  beforeEach(async () => {
    sockets = [];
    server = createServer((socket) => {
      sockets.push(socket);
      socket.on('error', () => undefined);
      socket.on('data', () => respond(socket));
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const { port } = server.address() as AddressInfo;
    connections = new BackendConnections({ address: `127.0.0.1:${port}` });
  });

  afterEach(async () => {
    connections.close();
    sockets.forEach((socket) => socket.destroy());
    server.close();
    await once(server, 'close');
  });

  // Guards against an assertion of undici that the body is not paused, and against resets taken for a regular end.
  describe('while its caller reads slowly', () => {
    const cases: readonly (readonly [string, string, string, string])[] = [
      ['without a length', TO_THE_CLOSE, 'close', 'whole'],
      ['without a length', TO_THE_CLOSE, 'reset', 'failed'],
      ['without a length', TO_THE_CLOSE, 'late reset', 'failed'],
      ['with a length', LENGTH, 'close', 'whole'],
      ['with a length', LENGTH, 'reset', 'whole'],
      ['with a length', LENGTH, 'late reset', 'whole'],
    ];
    cases.forEach(([kind, text, ending, expected]) => {
      it(`gives a ${expected} response ${kind} after a ${ending}`, async () => {
        respond = writeAndEnd(text, ending);
        expect(await send(SLOW_READ_MS)).to.equal(`${expected} ${BODY}`);
        // Further errors of the connection would come up to here.
        await sleep(SLOW_READ_MS);
      });
    });
  });

  describe('between two requests', () => {
    ['', LENGTH].forEach((text) => {
      ['close', 'reset'].forEach((ending) => {
        // Guards against a server that counts as unreachable because a kept connection ended.
        it(`lets the next one use another after ${text.length} bytes and a ${ending}`, async () => {
          respond = (socket) => socket.write(LENGTH.replace(BODY, 'fresh'));
          expect(await send()).to.equal('whole fresh');
          await sleep(5);
          const next = new Promise<string>((resolve) => {
            sockets[0]!.write(text, () => {
              ENDINGS[ending]!(sockets[0]!);
              resolve(send());
            });
          });
          expect(await next).to.equal('whole fresh');
          expect(sockets).to.have.length(2);
        });
      });
    });

    it('is not used again when a reset was read with its response', async () => {
      respond = writeAndEnd(LENGTH, 'reset');
      for (let number = 0; number < 20; number += 1) {
        expect(await send()).to.equal(`whole ${BODY}`);
        // The connection returns to the pool before its close is reported.
        await new Promise(setImmediate);
      }
      expect(sockets).to.have.length(20);
    });
  });

  // Guards against a connection to a server that has ended and counts as open, since nobody reads it.
  it('does not count as open while its response is not read', async () => {
    respond = (socket) => socket.write(TO_THE_CLOSE);
    connections.send(
      {
        method: 'GET',
        path: '/',
        headers: [],
        body: Buffer.alloc(0),
        needsRecentConnection: false,
      },
      { head: () => true, data: () => false, end: () => undefined, failed: () => undefined },
    );
    while (sockets.length === 0) await sleep(5);
    sockets[0]!.destroy();
    await sleep(SLOW_READ_MS);
    expect(connections.hasOpenSince(performance.now())).to.equal(false);
  });

  ['accepts', 'refuses'].forEach((result) => {
    it(`is told apart by a probe from one to a server that ${result} others`, async () => {
      if (result === 'refuses') server.close();
      const found = await new Promise((resolve) => {
        connections.probe(resolve);
      });
      expect(found).to.equal(result);
      if (result === 'refuses') server.listen(0, '127.0.0.1');
    });
  });
});
