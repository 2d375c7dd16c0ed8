import { expect } from 'chai';
import { createServer } from 'node:net';
import type { Server, Socket } from 'node:net';
import { BackendConnections } from './mod.ts';
import type { BackendRequest } from './mod.ts';

const OK = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok';

/** Result of one request. */
type Result = {
  readonly end: 'whole' | 'failed';
  readonly status: number;
  readonly body: string;
  readonly wasSent: boolean;
};

/** The server's reaction to the data received so far on a connection; called with each chunk. */
type Behaviour = (socket: Socket, received: string, connection: number) => void;

describe('BackendConnections', () => {
  let server: Server;
  let connections: BackendConnections;
  let behave: Behaviour;
  let openedCount: number;
  let sockets: Socket[];

  function request(path: string, changes: Partial<BackendRequest> = {}): BackendRequest {
    const base = { method: 'POST', headers: [], body: Buffer.from('body') };
    return { ...base, path, needsRecentConnection: false, ...changes };
  }

  function send(path: string, changes: Partial<BackendRequest> = {}): Promise<Result> {
    return new Promise((resolve) => {
      let status = 0;
      const chunks: Buffer[] = [];
      const body = (): string => Buffer.concat(chunks).toString();
      connections.send(request(path, changes), {
        head: (each) => {
          status = each;
          return true;
        },
        data: (chunk) => {
          chunks.push(chunk);
          return true;
        },
        end: () => resolve({ end: 'whole', status, body: body(), wasSent: true }),
        failed: (_error, wasSent) => resolve({ end: 'failed', status, body: body(), wasSent }),
      });
    });
  }

  /** Waits until responses have ended and connections are back in the pool. */
  async function settle(): Promise<void> {
    await new Promise((resolve) => {
      setTimeout(resolve, 20);
    });
  }

  beforeEach(async () => {
    openedCount = 0;
    sockets = [];
    behave = (socket) => socket.write(OK);
    server = createServer((socket) => {
      const connection = openedCount;
      openedCount += 1;
      sockets.push(socket);
      let received = '';
      socket.on('error', () => undefined);
      socket.on('data', (chunk) => {
        received += chunk.toString('latin1');
        behave(socket, received, connection);
      });
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const bound = server.address();
    const port = typeof bound === 'object' && bound !== null ? bound.port : 0;
    connections = new BackendConnections({ address: `127.0.0.1:${port}`, recentIdleMs: 200 });
  });

  afterEach(async () => {
    connections.close();
    sockets.forEach((socket) => socket.destroy());
    await new Promise((resolve) => {
      server.close(resolve);
    });
  });

  describe('a connection', () => {
    it('carries one request after another', async () => {
      for (const path of ['/1', '/2', '/3']) {
        expect(await send(path)).to.include({ end: 'whole', status: 200, body: 'ok' });
        await settle();
      }
      expect(openedCount).to.equal(1);
    });

    it('carries no second request while one is in progress', async () => {
      let isFirst = true;
      behave = (socket) => {
        if (!isFirst) socket.write(OK);
        isFirst = false;
      };
      const first = send('/1');
      await settle();
      expect(await send('/2')).to.include({ end: 'whole' });
      expect(openedCount).to.equal(2);
      sockets[0]!.write(OK);
      expect(await first).to.include({ end: 'whole' });
    });

    it('that was idle for long is not reused for a request that may run only once', async () => {
      await send('/1');
      await new Promise((resolve) => {
        setTimeout(resolve, 260);
      });
      await send('/2', { needsRecentConnection: true });
      expect(openedCount).to.equal(2);
    });

    it('is not reused after a response with `Connection: close`', async () => {
      behave = (socket) => socket.write(OK.replace('OK\r\n', 'OK\r\nConnection: close\r\n'));
      await send('/1');
      await settle();
      expect(await send('/2')).to.include({ end: 'whole' });
      expect(openedCount).to.equal(2);
    });

    it('is not reused after the server closed it while idle', async () => {
      await send('/1');
      await settle();
      sockets[0]!.end();
      await settle();
      expect(await send('/2')).to.include({ end: 'whole' });
      expect(openedCount).to.equal(2);
    });
  });

  describe('bytes after a response', () => {
    it('are not taken as the next response when they arrive at once', async () => {
      behave = (socket, _received, connection) =>
        socket.write(connection === 0 ? OK + OK.replace('ok', 'no') : OK);
      expect(await send('/1')).to.include({ end: 'whole', body: 'ok' });
      await settle();
      expect(await send('/2')).to.include({ end: 'whole', body: 'ok' });
      expect(openedCount).to.equal(2);
    });

    it('are not taken as the next response when they arrive on an idle connection', async () => {
      await send('/1');
      await settle();
      sockets[0]!.write(OK.replace('ok', 'no'));
      await settle();
      expect(await send('/2')).to.include({ end: 'whole', body: 'ok' });
      expect(openedCount).to.equal(2);
    });
  });

  describe('a response sent before the request body was read', () => {
    const long = Buffer.alloc(4_000_000, 'x');

    it('is complete, and the next request follows the body or uses another connection', async () => {
      const seen: string[] = [];
      const answered = new Set<number>();
      behave = (socket, received, connection) => {
        seen[connection] = received;
        if (answered.has(connection) || /\r\n\r\n$/.test(received)) return;
        answered.add(connection);
        socket.write(OK);
      };
      expect(await send('/long', { body: long })).to.include({ end: 'whole', body: 'ok' });
      await settle();
      const second = send('/next');
      await settle();
      const next = seen.findIndex((text) => text.includes('POST /next'));
      if (next === 0) {
        const at = seen[0]!.indexOf('POST /next');
        const head = seen[0]!.indexOf('\r\n\r\n') + 4;
        expect(at - head).to.equal(long.length);
        sockets[0]!.write(OK);
      }
      expect(await second).to.include({ end: 'whole', body: 'ok' });
    });

    it('is delivered once or not at all when it closes the connection', async () => {
      behave = (socket) => {
        socket.pause();
        socket.end(
          OK.replace('200 OK', '413 Too Long').replace('\r\n\r\n', '\r\nConnection: close\r\n\r\n'),
        );
      };
      const result = await send('/long', { body: long });
      if (result.end === 'whole') expect(result.status).to.equal(413);
      else expect(result.wasSent).to.equal(true);
    });
  });

  describe('bytes without end', () => {
    /** Far more than a valid response head has; the stand-in gives up after as many. */
    const MAX_BYTES = 4_000_000;

    const block = 'x'.repeat(16_384);

    const endless: Readonly<Record<string, readonly [start: string, repeated: string]>> = {
      'in a header value': ['HTTP/1.1 200 OK\r\nX-Long: ', block],
      'in a header name': ['HTTP/1.1 200 OK\r\n', block],
      'in a status line': ['HTTP/1.1 200 ', block],
      'in headers': ['HTTP/1.1 200 OK\r\n', 'X-Some: value\r\n'.repeat(500)],
      'in interim responses': ['', 'HTTP/1.1 103 Early Hints\r\n\r\n'.repeat(500)],
      'that are no response': ['', block],
      'in a chunk extension': ['HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;', block],
      'in trailers': [
        'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n',
        'X-Some: value\r\n'.repeat(500),
      ],
    };

    Object.entries(endless).forEach(([place, [start, repeated]]) => {
      it(`fail the request and close its connection (${place})`, async () => {
        let sentBytes = 0;
        behave = (socket) => {
          socket.write(start);
          const pump = (): void => {
            if (socket.destroyed || sentBytes > MAX_BYTES) return;
            sentBytes += repeated.length;
            socket.write(repeated, () => setImmediate(pump));
          };
          pump();
        };
        const closed = new Promise((resolve) => {
          server.once('connection', (socket) => socket.once('close', resolve));
        });
        const result = await send('/endless');
        expect(result).to.include({ end: 'failed', wasSent: true });
        await closed;
        expect(sentBytes).to.be.below(MAX_BYTES);
      });
    });
  });

  describe('a response', () => {
    const broken: Readonly<Record<string, string>> = {
      'a truncated body': 'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok',
      'a truncated chunk': 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nok',
      'no last chunk': 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n',
      'a truncated head': 'HTTP/1.1 200 OK\r\nContent-Le',
      'no response': '',
      'bytes that are not HTTP': '\u0000\u0001garbage\r\n\r\n',
      'two lengths': 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok',
      'a length and chunks':
        'HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\nok',
    };
    Object.entries(broken).forEach(([name, bytes]) => {
      it(`that is incomplete or invalid fails the request as sent, and its connection is not reused (${name})`, async () => {
        behave = (socket, _received, connection) => {
          if (connection === 0) socket.end(bytes, 'latin1');
          else socket.write(OK);
        };
        expect(await send('/1')).to.include({ end: 'failed', wasSent: true });
        expect(await send('/2')).to.include({ end: 'whole', body: 'ok' });
        expect(openedCount).to.equal(2);
      });
    });

    it('without a length fails the request when its connection is reset', async () => {
      behave = (socket) => {
        socket.write('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok', () =>
          setTimeout(() => socket.resetAndDestroy(), 20),
        );
      };
      expect(await send('/1')).to.include({ end: 'failed', wasSent: true });
    });

    it('without a length is complete when its connection closes regularly', async () => {
      behave = (socket) => socket.end('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok');
      expect(await send('/1')).to.include({ end: 'whole', body: 'ok' });
    });

    it('after an interim response is complete', async () => {
      behave = (socket) => socket.write(`HTTP/1.1 103 Early Hints\r\n\r\n${OK}`);
      expect(await send('/1')).to.include({ end: 'whole', status: 200, body: 'ok' });
    });
  });

  describe('a request to a server that does not listen', () => {
    it('fails as not sent', async () => {
      await new Promise((resolve) => {
        server.close(resolve);
      });
      expect(await send('/1')).to.include({ end: 'failed', wasSent: false });
    });
  });

  describe('with an invalid address', () => {
    // Guards against a request that hangs because its server cannot be connected to.
    ['127.0.0.1:99999', '127.0.0.300:80', 'no address'].forEach((address) => {
      it(`fails a request as not sent (${address})`, async () => {
        connections.close();
        connections = new BackendConnections({ address });
        expect(await send('/a')).to.include({ end: 'failed', wasSent: false });
      });
    });
  });

  describe("while the callers' sockets have not been read for long", () => {
    let isRecent: boolean;
    let waiting: (() => void)[];

    /** Lets the sockets be read. */
    function read(): void {
      isRecent = true;
      waiting.splice(0).forEach((run) => run());
    }

    beforeEach(() => {
      isRecent = false;
      waiting = [];
      connections.close();
      const address = server.address();
      const port = typeof address === 'object' && address !== null ? address.port : 0;
      connections = new BackendConnections({
        address: `127.0.0.1:${port}`,
        socketReads: {
          get isRecent() {
            return isRecent;
          },
          afterRead: (run) => {
            if (isRecent) run();
            else waiting.push(run);
            return () => {
              waiting = waiting.filter((each) => each !== run);
            };
          },
        },
      });
    });

    it('sends nothing, on a new connection or on one in use before', async () => {
      const paths: string[] = [];
      behave = (socket, received) => {
        paths.push(received.split(' ')[1] ?? '');
        socket.write(OK);
      };
      const first = send('/new');
      await settle();
      isRecent = true;
      waiting.splice(0).forEach((run) => run());
      isRecent = false;
      await settle();
      expect(paths).to.deep.equal([]);
      read();
      expect((await first).end).to.equal('whole');
      await settle();
      const second = send('/kept');
      isRecent = false;
      await settle();
      expect(paths).to.deep.equal(['/new']);
      read();
      await settle();
      read();
      expect((await second).end).to.equal('whole');
      expect(paths).to.deep.equal(['/new', '/kept']);
    });

    it('sends nothing of a request that is aborted then', async () => {
      let receivedCount = 0;
      behave = () => {
        receivedCount += 1;
      };
      const events = { head: () => true, data: () => true, end: () => {}, failed: () => {} };
      connections.send(request('/aborted'), events).abort();
      read();
      await settle();
      expect(receivedCount).to.equal(0);
    });
  });
});
