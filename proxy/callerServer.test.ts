import { once } from 'node:events';
import { setTimeout as sleep } from 'node:timers/promises';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { expect } from 'chai';
import fc from 'fast-check';
import { CallerLimiter } from '../http/mod.ts';
import { CallerServer } from './mod.ts';
import type { CallerRequest } from './mod.ts';
import type { CallerLimits } from '../core/serving/mod.ts';
import { openRawConnection } from './testing/rawConnection.ts';
import type { RawConnection } from './testing/rawConnection.ts';
import { queueConnections } from '../http/testing/queueConnections.ts';
import type { Departure } from '../http/testing/queueConnections.ts';

const LIMITS: CallerLimits = {
  maxHeaderBytes: 4096,
  maxBodyBytes: 1000,
  headerTimeoutMs: 200,
  idleTimeoutMs: 800,
};

describe('CallerServer', () => {
  let server: CallerServer;
  let requests: CallerRequest[];
  let respond: (request: CallerRequest) => void;

  function respondOk({ response: to }: CallerRequest): void {
    const headers = ['content-length', '2'];
    to.begin({ status: 200, statusText: 'OK', headers });
    to.end('ok');
  }

  function send(text: string): RawConnection {
    const connection = openRawConnection(server.port);
    connection.socket.write(text, 'latin1');
    return connection;
  }

  beforeEach(async () => {
    requests = [];
    respond = respondOk;
    server = new CallerServer({
      ip: '127.0.0.1',
      port: 0,
      limits: LIMITS,
      handle: (request) => {
        requests.push(request);
        respond(request);
      },
    });
    await server.listen();
  });

  afterEach(() => {
    server.abort();
  });

  describe('an ambiguous request', () => {
    const hidden = 'GET /hidden HTTP/1.1\r\nHost: a\r\n\r\n';
    const heads: Readonly<Record<string, string>> = {
      'a length and chunks': 'Content-Length: 5\r\nTransfer-Encoding: chunked',
      'chunks and a length': 'Transfer-Encoding: chunked\r\nContent-Length: 5',
      'two lengths': 'Content-Length: 5\r\nContent-Length: 60',
      'a list of lengths': 'Content-Length: 5, 60',
      'a signed length': 'Content-Length: +5',
      'a negative length': 'Content-Length: -5',
      'a space before the colon': 'Content-Length : 5',
      'a folded line': 'X-A: b\r\n Content-Length: 5',
      'chunks that are not the last coding': 'Transfer-Encoding: chunked, identity',
      'an unknown coding': 'Transfer-Encoding: xchunked',
    };
    Object.entries(heads).forEach(([name, lines]) => {
      it(`is rejected, and no request hidden in it is run (${name})`, async () => {
        const text = `POST /a HTTP/1.1\r\nHost: a\r\n${lines}\r\n\r\n0\r\n\r\n${hidden}`;
        const received = await send(text).closed;
        expect(received).to.match(/^HTTP\/1\.1 400 /);
        expect(requests).to.deep.equal([]);
      });
    });
  });

  describe('a caller that left before its request was read', () => {
    const request = (index: number): string => `GET /${index} HTTP/1.1\r\nHost: a\r\n\r\n`;

    (['close', 'reset'] as const).forEach((departure) => {
      it(`has no request handled (${departure})`, async () => {
        await queueConnections({
          port: server.port,
          count: 12,
          request,
          departure: () => departure,
        }).closed;
        expect(requests.map(({ path }) => path)).to.deep.equal([]);
      });
    });

    it('is told apart from callers that stayed, whatever their order', async () => {
      const departures = fc.array(fc.constantFrom<Departure>('stay', 'close', 'reset'), {
        minLength: 1,
        maxLength: 30,
      });
      await fc.assert(
        fc.asyncProperty(departures, async (each) => {
          requests = [];
          const received = await queueConnections({
            port: server.port,
            count: each.length,
            request: (index) => `GET /${index} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n`,
            departure: (index) => each[index] ?? 'stay',
          }).closed;
          const stayed = each.flatMap((departure, index) => (departure === 'stay' ? index : []));
          const handled = requests.map(({ path }) => Number(path.slice(1)));
          expect([...handled].sort((a, b) => a - b)).to.deep.equal(stayed);
          stayed.forEach((index) => expect(received[index]).to.match(/ 200 OK[^]*ok$/));
        }),
        { seed: 20, numRuns: 12 },
      );
    });
  });

  describe('pipelined requests', () => {
    it('are answered in order and cause no warning, however many they are', async () => {
      const warnings: Error[] = [];
      const noteWarning = (warning: Error): unknown => warnings.push(warning);
      process.on('warning', noteWarning);
      const text = Array.from(
        { length: 30 },
        (_, index) =>
          `GET /${index} HTTP/1.1\r\nHost: a\r\n${index === 29 ? 'Connection: close\r\n' : ''}\r\n`,
      ).join('');
      await send(text).closed;
      // Warnings are emitted in a later turn.
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
      process.off('warning', noteWarning);
      expect(requests).to.have.length(30);
      expect(warnings).to.deep.equal([]);
    });
  });

  describe('callers whose connections wait to be accepted', () => {
    it('are all accepted before a request is handled', async () => {
      const accepted: string[] = [];
      respond = (caller) => {
        accepted.push(`${server.openConnectionCount}`);
        respondOk(caller);
      };
      await queueConnections({
        port: server.port,
        count: 12,
        request: (index) => `GET /${index} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n`,
      }).closed;
      expect(requests).to.have.length(12);
      expect(accepted[0]).to.equal('12');
    });
  });

  describe('a body', () => {
    it('in chunks reaches the handler complete and decoded', async () => {
      const chunks = '3;name=value\r\nabc\r\n4\r\n\r\nde\r\n0\r\nTrailer: x\r\n\r\n';
      await send(
        `POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n${chunks}`,
      ).until(/ok$/);
      expect(requests.map(({ body }) => body.toString())).to.deep.equal(['abc\r\nde']);
    });

    it('that looks like a request is not parsed as one', async () => {
      const inner = 'GET /inner HTTP/1.1\r\nHost: a\r\n\r\n';
      const head = `POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: ${inner.length}\r\n\r\n`;
      await send(`${head}${inner}${head}${inner}`).until(/ok[^]*ok$/);
      expect(requests.map(({ path }) => path)).to.deep.equal(['/a', '/a']);
      expect(requests.map(({ body }) => body.toString())).to.deep.equal([inner, inner]);
    });

    it('of exactly the size limit is accepted, with a length or in chunks', async () => {
      const body = 'x'.repeat(LIMITS.maxBodyBytes);
      await send(
        `POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
      ).until(/ok$/);
      const chunk = `${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`;
      await send(`POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n${chunk}`).until(
        /ok$/,
      );
      expect(requests.map(({ body: { length } }) => length)).to.deep.equal([1000, 1000]);
    });

    it('above the size limit is rejected before it is complete, with a length or in chunks', async () => {
      const piece = 'x'.repeat(LIMITS.maxBodyBytes + 1);
      const fixed = send(`POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 9999\r\n\r\n${piece}`);
      const chunk = `${piece.length.toString(16)}\r\n${piece}\r\n`;
      const chunked = send(
        `POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n${chunk}`,
      );
      for (const connection of [fixed, chunked]) {
        expect(await connection.until(/\r\n\r\n/)).to.match(
          /^HTTP\/1\.1 413 [^]*connection: close/,
        );
      }
      expect(requests).to.deep.equal([]);
    });

    it('that is truncated is not handled as a request', async () => {
      const connection = send('POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nabc');
      connection.socket.end();
      await connection.closed;
      expect(requests).to.deep.equal([]);
    });
  });

  describe('headers', () => {
    it('keep their case, order and duplicates', async () => {
      await send('GET /a?b=%20 HTTP/1.1\r\nHost: a\r\nX-B: 1\r\nx-b: 2\r\n\r\n').until(/ok$/);
      const [request] = requests;
      expect(request?.path).to.equal('/a?b=%20');
      expect(request?.headers).to.deep.equal(['Host', 'a', 'X-B', '1', 'x-b', '2']);
    });

    it('above the size limit are rejected', async () => {
      const long = 'x'.repeat(LIMITS.maxHeaderBytes);
      const received = await send(`GET /a HTTP/1.1\r\nHost: a\r\nX-A: ${long}\r\n\r\n`).until(
        /\r\n\r\n/,
      );
      expect(received).to.match(/^HTTP\/1\.1 431 /);
      expect(requests).to.deep.equal([]);
    });

    it('that do not arrive in time close the connection', async () => {
      const received = await send('GET /a HTTP/1.1\r\nHost: a\r\nX-A: ').closed;
      expect(received).to.match(/^HTTP\/1\.1 408 /);
      expect(requests).to.deep.equal([]);
    });

    it('that do not arrive in time close the connection after an earlier request', async () => {
      const connection = send('GET /a HTTP/1.1\r\nHost: a\r\n\r\n');
      await connection.until(/ok$/);
      connection.socket.write('GET /b HTTP/1.1\r\nHost: a\r\nX-A: ');
      expect(await connection.closed).to.match(/okHTTP\/1\.1 408 /);
      expect(requests.map(({ path }) => path)).to.deep.equal(['/a']);
    });
  });

  describe('a connection', () => {
    it('carries pipelined requests and returns the responses in order', async () => {
      const waiting: CallerRequest[] = [];
      respond = (request) => waiting.push(request);
      const connection = send(
        'GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n',
      );
      while (waiting.length < 2) await new Promise(setImmediate);
      respondOk(waiting[1]!);
      waiting[0]!.response.begin({
        status: 404,
        statusText: 'Not Found',
        headers: ['content-length', '0'],
      });
      waiting[0]!.response.end();
      expect(await connection.until(/ok$/)).to.match(/^HTTP\/1\.1 404 [^]*HTTP\/1\.1 200 /);
    });

    it('that has sent nothing yet stays open as long as an idle one', async () => {
      const connection = openRawConnection(server.port);
      await new Promise((resolve) => {
        setTimeout(resolve, LIMITS.idleTimeoutMs * 0.8);
      });
      connection.socket.write('GET /1 HTTP/1.1\r\nHost: a\r\n\r\n');
      await connection.until(/ok$/);
    });

    it('that is idle is closed after the idle timeout, and not before 80 % of it', async () => {
      const connection = send('GET /1 HTTP/1.1\r\nHost: a\r\n\r\n');
      await connection.until(/ok$/);
      const startedAt = performance.now();
      await connection.closed;
      expect(performance.now() - startedAt).to.be.at.least(LIMITS.idleTimeoutMs * 0.8);
    });

    it('is closed after the next response while connections are drained', async () => {
      server.drainConnections();
      const received = await send('GET /1 HTTP/1.1\r\nHost: a\r\n\r\n').closed;
      expect(received).to.match(/connection: close/i);
      expect(received).to.match(/\r\n\r\nok$/);
    });

    it('of a slow reader applies back-pressure instead of buffering the response', async () => {
      const piece = Buffer.alloc(65_536, 'x');
      let written = 0;
      let isHeldBack = false;
      let drained: (() => void) | undefined;
      respond = ({ response: to }) => {
        to.begin({ status: 200, statusText: 'OK', headers: [] });
        const more = (): void => {
          while (written < 200) {
            written += 1;
            if (!to.write(piece)) {
              isHeldBack = true;
              to.onDrain(more);
              return;
            }
          }
          to.end();
          drained?.();
        };
        more();
      };
      const connection = openRawConnection(server.port);
      connection.socket.pause();
      connection.socket.write('GET /1 HTTP/1.1\r\nHost: a\r\n\r\n');
      while (!isHeldBack) await new Promise(setImmediate);
      expect(written).to.be.below(200);
      const whole = new Promise<void>((resolve) => {
        drained = resolve;
      });
      connection.socket.resume();
      await whole;
      await connection.until(/\r\n0\r\n\r\n$/);
      expect(connection.text().length).to.be.at.least(200 * piece.length);
    });

    it('that its caller closes is reported as a disconnect', async () => {
      const gone = new Promise<void>((resolve) => {
        respond = ({ response: to }) => to.onDisconnect(resolve);
      });
      const connection = send('GET /1 HTTP/1.1\r\nHost: a\r\n\r\n');
      while (requests.length === 0) await new Promise(setImmediate);
      connection.socket.destroy();
      await gone;
    });
  });

  describe('an aborted response', () => {
    it('does not look complete, with a length or in chunks', async () => {
      for (const headers of [['content-length', '9'], []]) {
        respond = ({ response: to }) => {
          to.begin({ status: 200, statusText: 'OK', headers });
          to.write(Buffer.from('abc'));
          setImmediate(() => to.abort());
        };
        const received = await send('GET /1 HTTP/1.1\r\nHost: a\r\n\r\n').closed;
        expect(received).to.not.match(/0\r\n\r\n$/);
        expect(received.length - received.indexOf('\r\n\r\n')).to.be.below(4 + 12);
      }
    });
  });

  describe('a body in chunks of one byte', () => {
    const BODY_BYTES = 400_000;

    /** Memory beyond the body itself; a buffer for each chunk takes more than 100 bytes. */
    const MAX_BYTES_PER_CHUNK = 20;

    function usedBytes(): number {
      setFlagsFromString('--expose-gc');
      (runInNewContext('gc') as () => void)();
      const { heapUsed, external } = process.memoryUsage();
      return heapUsed + external;
    }

    // Guards against a body within its limit that fills the heap and ends the process.
    it('takes little more memory than its bytes, and is handled as a whole', async () => {
      server.applyLimits({ ...LIMITS, maxBodyBytes: BODY_BYTES });
      const connection = send('POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n');
      const piece = '1\r\na\r\n'.repeat(BODY_BYTES / 100);
      const before = usedBytes();
      for (let index = 0; index < 100; index += 1) {
        if (!connection.socket.write(piece)) await once(connection.socket, 'drain');
        await new Promise(setImmediate);
      }
      while (connection.socket.writableLength > 0) await new Promise(setImmediate);
      await sleep(100);
      expect(usedBytes() - before).to.be.below(BODY_BYTES * MAX_BYTES_PER_CHUNK);
      connection.socket.write('0\r\n\r\n');
      while (requests.length === 0) await sleep(5);
      expect(requests[0]!.body.equals(Buffer.alloc(BODY_BYTES, 'a'))).to.equal(true);
    });
  });

  // Guards against a stopping process that closes connections because it takes their requests for ended.
  it('counts the request of a caller that has left once', async () => {
    respond = () => undefined;
    const leaving = send('GET /leaving HTTP/1.1\r\nHost: a\r\n\r\n');
    send('GET /staying HTTP/1.1\r\nHost: a\r\n\r\n');
    while (requests.length < 2) await sleep(5);
    expect(server.openRequestCount).to.equal(2);
    leaving.socket.destroy();
    while (server.openRequestCount === 2) await sleep(5);
    await sleep(50);
    expect(server.openRequestCount).to.equal(1);
  });

  describe('bodies of open requests that fill their share of the memory', () => {
    const MAX_HELD_BYTES = 2000;

    const post = (path: string, size: number, isKept = true): string =>
      `POST ${path} HTTP/1.1\r\nHost: a\r\n${isKept ? '' : 'Connection: close\r\n'}Content-Length: ${size}\r\n\r\n${'b'.repeat(size)}`;

    let refusals: number;

    beforeEach(async () => {
      server.abort();
      refusals = 0;
      server = new CallerServer({
        ip: '127.0.0.1',
        port: 0,
        limits: LIMITS,
        limiter: new CallerLimiter({
          maxHeldBytes: MAX_HELD_BYTES,
          connectionBytes: 0,
          requestBytes: 0,
          onLimited: () => {
            refusals += 1;
          },
        }),
        handle: (request) => {
          requests.push(request);
          respond(request);
        },
      });
      await server.listen();
    });

    // Guards against servers that read slowly and make the process exceed its memory.
    it('refuse a further large one at once, with a time to return, and let small ones pass', async () => {
      respond = () => undefined;
      send(post('/a', 900));
      send(post('/b', 900));
      while (requests.length < 2) await sleep(5);
      const refused = await send(post('/c', 900)).closed;
      expect(refused).to.match(/^HTTP\/1\.1 503 .*\r\n/);
      expect(refused).to.match(/retry-after: [12]\.\d\r\n/);
      expect(refusals).to.equal(1);
      respond = respondOk;
      expect(await send(post('/d', 50, false)).closed).to.match(/^HTTP\/1\.1 200 /);
      expect(requests.map(({ path }) => path)).to.deep.equal(['/a', '/b', '/d']);
    });

    it('make room when their requests end, complete or not', async () => {
      respond = () => undefined;
      const first = send(post('/a', 900));
      send(post('/b', 900));
      while (requests.length < 2) await sleep(5);
      first.socket.destroy();
      respondOk(requests[1]!);
      while (server.heldBytes > 0) await sleep(5);
      respond = respondOk;
      expect(await send(post('/c', 900, false)).closed).to.match(/^HTTP\/1\.1 200 /);
    });
  });
});
