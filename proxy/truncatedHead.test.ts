import { once } from 'node:events';
import { createServer } from 'node:net';
import type { Server } from 'node:net';
import { expect } from 'chai';
import { BackendConnections } from './mod.ts';

const WHOLE = 'HTTP/1.1 200 OK\r\nX-Response-Stamp: a\r\nContent-Length: 2\r\n\r\nok';

/** Heads that are cut off at each of their bytes. */
const HEADS: Readonly<Record<string, string>> = {
  'a length': 'HTTP/1.1 200 OK\r\nX-Response-Stamp: a\r\nContent-Length: 2\r\n\r\n',
  chunks: 'HTTP/1.1 200 OK\r\nX-Response-Stamp: a\r\nTransfer-Encoding: chunked\r\n\r\n',
  'a connection that is closed':
    'HTTP/1.1 200 OK\r\nConnection: close\r\nX-Response-Stamp: a\r\n\r\n',
  'the former version of the protocol': 'HTTP/1.0 200 OK\r\nX-Response-Stamp: a\r\n\r\n',
  'an interim response before it':
    'HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nX-A: b\r\n\r\n',
};

describe('a backend server that closes its connection inside the head of a response', () => {
  let server: Server;
  let connections: BackendConnections;
  /** What the server answers to each request of a connection; it closes after the last. */
  let answers: readonly string[];

  beforeEach(async () => {
    server = createServer((socket) => {
      let count = 0;
      socket.on('error', () => undefined);
      socket.on('data', () => {
        const answer = answers[count] ?? '';
        count += 1;
        if (count >= answers.length) socket.end(answer);
        else socket.write(answer);
      });
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const bound = server.address();
    const port = typeof bound === 'object' && bound !== null ? bound.port : 0;
    connections = new BackendConnections({ address: `127.0.0.1:${port}` });
  });

  afterEach(() => {
    connections.close();
    server.close();
  });

  function send(): Promise<readonly string[]> {
    const request = { method: 'GET', path: '/', headers: [], body: Buffer.alloc(0) };
    const seen: string[] = [];
    return new Promise((resolve) => {
      connections.send(
        { ...request, needsRecentConnection: false },
        {
          head: (status) => {
            seen.push(`head ${status}`);
            return true;
          },
          data: () => true,
          end: () => resolve([...seen, 'end']),
          failed: () => resolve([...seen, 'failed']),
        },
      );
    });
  }

  // Guards against a truncated response that reaches the caller as a complete one.
  Object.entries(HEADS).forEach(([name, head]) => {
    it(`yields no response (${name}), on a new connection or a kept one`, async () => {
      for (let length = 1; length < head.length; length += 1) {
        const truncated = head.slice(0, length);
        answers = [truncated];
        expect(await send(), JSON.stringify(truncated)).to.deep.equal(['failed']);
        answers = [WHOLE, truncated];
        expect(await send()).to.deep.equal(['head 200', 'end']);
        await new Promise(setImmediate);
        await new Promise(setImmediate);
        expect(await send(), `kept ${JSON.stringify(truncated)}`).to.deep.equal(['failed']);
      }
    });
  });
});
