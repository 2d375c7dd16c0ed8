import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { expect } from 'chai';
import { Packr } from 'msgpackr';
import { request } from 'undici';
import { WebSocket } from 'ws';
import { expectedText, stream } from './testing/callerClient.ts';
import { startTaskFleet, TASK_FLEET_TOKEN } from './testing/taskFleet.ts';
import type { TaskFleet } from './testing/taskFleet.ts';

const TOKEN_COUNT = 3;

type ErrorResponse = {
  readonly status: number;
  readonly outcome: unknown;
  readonly code: string;
  readonly message: string;
};

type RequestBody = string | Buffer;

describe('invalid input', () => {
  let fleet: TaskFleet;

  beforeEach(async () => {
    fleet = await startTaskFleet();
  });

  afterEach(async () => {
    const answer = await stream({ url: fleet.url, token: TASK_FLEET_TOKEN }, TOKEN_COUNT);
    const faults = fleet.events.filter(({ name }) => name === 'internalError');
    await fleet.stop();
    expect(answer).to.include({ outcome: 'done', text: expectedText(TOKEN_COUNT) });
    expect(faults).to.deep.equal([]);
  });

  const send = async (
    path: string,
    body: RequestBody,
    options: { readonly method?: 'POST' | 'PUT'; readonly token?: string } = {},
  ): Promise<ErrorResponse> => {
    const { method = 'POST', token = TASK_FLEET_TOKEN } = options;
    const headers = { authorization: `Bearer ${token}` };
    const response = await request(`${fleet.url}${path}`, { method, headers, body });
    const { error } = (await response.body.json()) as {
      readonly error: { readonly code: string; readonly message: string };
    };
    const outcome = response.headers['hyssopspread-outcome'];
    return { status: response.statusCode, outcome, code: error.code, message: error.message };
  };

  const sendCompletion = (fields: object, token?: string): Promise<ErrorResponse> =>
    send(
      '/v1/completions',
      JSON.stringify({ model: 't/a@1', prompt: '', ...fields }),
      token === undefined ? {} : { token },
    );

  describe('from callers', () => {
    const expectRefusal = (
      answer: ErrorResponse,
      status: number,
      code: string,
      part: string,
    ): void => {
      expect(answer).to.include({ status, outcome: 'not-run', code });
      expect(answer.message).to.contain(part);
    };

    it('refuses an oversized body, even one that is far too large', async () => {
      const limits = [65_537, 65_536 * 8];
      for (const size of limits) {
        const answer = await send('/v1/completions', Buffer.alloc(size, 'a'));
        expectRefusal(answer, 413, 'too-large', '65536 bytes; shorten it');
      }
    });

    it('refuses a body that is not JSON, and names an invalid field', async () => {
      expectRefusal(await send('/v1/completions', '{"model'), 400, 'bad-request', 'not JSON');
      expectRefusal(await send('/v1/completions', '[1]'), 400, 'bad-request', 'body');
      expectRefusal(await sendCompletion({ max_tokens: 0 }), 400, 'bad-request', '"max_tokens"');
    });

    it('refuses a body that is not UTF-8', async () => {
      const body = Buffer.from([0x22, 0xc3, 0x28, 0x22]);
      expectRefusal(await send('/v1/completions', body), 400, 'bad-request', 'send UTF-8');
    });

    it('refuses an unknown adapter or version, and another tenant’s adapter', async () => {
      expectRefusal(await sendCompletion({ model: 't/z@1' }), 404, 'not-found', 't/z');
      expectRefusal(await sendCompletion({ model: 't/a@9' }), 404, 'not-found', '9');
      const foreign = await sendCompletion({ model: 'other/b@1' });
      expect(foreign).to.include({ outcome: 'not-run' });
      expect(foreign.status).to.be.oneOf([403, 404]);
    });

    it('refuses an unknown token', async () => {
      expectRefusal(await sendCompletion({}, 'nobody'), 401, 'unauthorized', 'bearer token');
    });

    it('refuses an unsupported method, an unknown path and a path with an invalid escape', async () => {
      const put = { method: 'PUT' } as const;
      const paths = ['/v1/completions', '/v1/services/t/s/keys'];
      for (const path of paths) {
        expectRefusal(await send(path, '', put), 405, 'bad-request', 'takes POST');
      }
      expectRefusal(await send('/v2/x', ''), 404, 'not-found', '/v2/x');
      const broken = await send('/v1/services/t/%zz/keys', '');
      expect(broken).to.include({ status: 404, outcome: 'not-run' });
    });

    it('refuses a service call without a key, with a malformed key or for another tenant', async () => {
      const calls = '/v1/services/t/s/calls';
      expectRefusal(await send(calls, '{}'), 400, 'bad-request', 'Idempotency-Key');
      const lookup = await request(`${fleet.url}${calls}/zzz`, {
        headers: { authorization: `Bearer ${TASK_FLEET_TOKEN}` },
      });
      expect(lookup.statusCode).to.equal(400);
      expect(await lookup.body.text()).to.contain('idempotency key is malformed');
      const foreign = await send('/v1/services/other/s/keys', '');
      expectRefusal(foreign, 404, 'not-found', 'is unknown or not shared with your tenant');
    });

    it('cancels a request whose caller half-closes its socket', async () => {
      const ended = fleet.nextEvent('requestEnded');
      const socket = connect(Number(new URL(fleet.url).port), '127.0.0.1');
      const body = JSON.stringify({ model: 't/a@1', prompt: '', max_tokens: 500, stream: true });
      socket.write(
        `POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer ${TASK_FLEET_TOKEN}\r\n` +
          `Content-Length: ${body.length}\r\n\r\n${body}`,
      );
      await new Promise((resolve) => {
        socket.once('data', resolve);
      });
      socket.end();
      expect((await ended).fields).to.include({ outcome: 'failed', reason: 'cancelled' });
      socket.destroy();
    });

    it('responds with 400 to text that is not HTTP', async () => {
      const socket: Socket = connect(Number(new URL(fleet.url).port), '127.0.0.1');
      socket.write('\0\0\0 not HTTP\r\n\r\n');
      const text = await new Promise<string>((resolve) => {
        socket.once('data', (bytes) => resolve(bytes.toString()));
      });
      expect(text).to.match(/^HTTP\/1\.1 400/);
    });
  });

  describe('from the configuration service', () => {
    it('keeps the set in force and logs the problem', async () => {
      const values = ['not JSON', '{"format":1}', '"\ufffd"', 'x'.repeat(2_000_000)];
      for (const value of values) {
        const seen = Promise.race([
          fleet.nextEvent('setUnreadable'),
          fleet.nextEvent('configurationDown'),
        ]);
        fleet.standins.configuration.put('head', value);
        expect((await seen).fields.detail)
          .to.be.a('string')
          .and.not.to.equal('');
        expect(fleet.entry.status().generation).to.equal(1);
      }
    });
  });

  describe('on a link', () => {
    const frames: readonly [string, Uint8Array][] = [
      ['bytes that are not a frame', Buffer.from([0xc1, 0xff, 0])],
      ['an empty frame', new Uint8Array()],
      ['a frame of an unknown kind', new Packr().pack({ sequence: 0, frame: { kind: 'zzz' } })],
      ['a hello without its fields', new Packr().pack({ sequence: 0, frame: { kind: 'hello' } })],
      ['an oversized frame', Buffer.alloc(5 * 1024 * 1024)],
    ];
    frames.forEach(([name, bytes]) => {
      it(`closes a connection that sends ${name}`, async () => {
        const socket = new WebSocket(`ws://127.0.0.1:${fleet.linksPort}`);
        const closed = new Promise((resolve) => {
          socket.once('close', resolve);
        });
        socket.on('error', () => undefined);
        socket.once('open', () => socket.send(bytes));
        await closed;
      });
    });
  });
});
