import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import { CallerLimiter, listenHttp, readBody } from './mod.ts';
import type { CallerLimiterOptions, HttpListener } from './mod.ts';

const MAX_BODY_BYTES = 100_000;

describe('CallerLimiter', () => {
  let limiter: CallerLimiter;

  let listener: HttpListener;

  let limitedCount: number;

  const sockets: Socket[] = [];

  async function start(options: CallerLimiterOptions): Promise<void> {
    limitedCount = 0;
    limiter = new CallerLimiter({
      connectionBytes: 10,
      requestBytes: 10,
      onLimited: () => {
        limitedCount += 1;
      },
      ...options,
    });
    const serve = async (...[request, response]: Parameters<Parameters<typeof listenHttp>[1]>) => {
      const { kind } = await readBody(request, MAX_BODY_BYTES, limiter);
      response.statusCode = kind === 'body' ? 200 : 503;
      if (request.url !== '/held') response.end();
    };
    listener = await listenHttp(
      { ip: '127.0.0.1', port: 0 },
      (request, response) => {
        serve(request, response).catch(() => response.destroy());
      },
      undefined,
      limiter,
    );
  }

  /** Sends text on a connection; returns it, and what was received until it is closed. */
  function send(text: string): { readonly socket: Socket; readonly received: () => string } {
    const socket = connect(listener.port, '127.0.0.1');
    let received = '';
    sockets.push(socket);
    socket.on('error', () => undefined);
    socket.on('data', (data: Buffer) => {
      received += data.toString('latin1');
    });
    socket.write(text);
    return { socket, received: () => received };
  }

  async function until(isTrue: () => boolean): Promise<void> {
    while (!isTrue()) await sleep(5);
  }

  const post = (length: number, sent: number): string =>
    `POST / HTTP/1.1\r\nHost: a\r\nContent-Length: ${length}\r\n\r\n${'b'.repeat(sent)}`;

  const GET = 'GET /held HTTP/1.1\r\nHost: a\r\n\r\n';

  afterEach(async () => {
    sockets.splice(0).forEach((socket) => socket.destroy());
    limiter.close();
    await listener.abort();
  });

  // Guards against counting closed connections, until all callers are refused.
  it('closes a connection with too many unanswered requests, and counts nothing of it any more', async () => {
    await start({ maxUnanswered: 20 });
    const { socket } = send(GET.repeat(50));
    await until(() => socket.destroyed);
    expect(limitedCount).to.equal(1);
    expect(limiter.heldBytes).to.equal(0);
  });

  it('refuses the largest incomplete request, and serves a small one', async () => {
    await start({ maxHeldBytes: 50_000 });
    const small = send(post(1000, 999));
    const large = send(post(45_000, 44_999));
    await until(() => limiter.heldBytes > 45_000);
    expect(limitedCount).to.equal(0);
    const third = send(post(9000, 9000));
    await until(() => third.received().includes('HTTP/1.1 200'));
    await until(() => large.received().includes('HTTP/1.1 503'));
    expect(small.received()).to.equal('');
    small.socket.write('b');
    await until(() => small.received().includes('HTTP/1.1 200'));
    sockets.forEach((socket) => socket.destroy());
    await until(() => limiter.heldBytes === 0);
  });

  it('keeps complete requests, which may be running', async () => {
    await start({ maxHeldBytes: 200 });
    const held = Array.from({ length: 20 }, () => send(GET));
    await until(() => limiter.heldBytes > 200);
    await sleep(50);
    expect(held.filter(({ socket }) => socket.destroyed)).to.have.length(0);
    expect(limitedCount).to.equal(0);
  });

  it('closes connections with many chunks while others send many, but none that is alone', async () => {
    await start({ maxChunksPerSecond: 1500 });
    const chunks = '1\r\na\r\n'.repeat(4000);
    const head = 'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n';
    const alone = send(`${head}${chunks}0\r\n\r\n`);
    await until(() => alone.received().includes('HTTP/1.1 200'));
    expect(limitedCount).to.equal(0);
    const crowd = [1, 2, 3, 4].map(() => send(`${head}${chunks}`));
    await until(() => limitedCount >= 3);
    const few = send(`${head}1\r\na\r\n0\r\n\r\n`);
    await until(() => few.received().includes('HTTP/1.1 200'));
    expect(crowd.filter(({ socket }) => !socket.destroyed).length).to.be.at.most(1);
  });
});
