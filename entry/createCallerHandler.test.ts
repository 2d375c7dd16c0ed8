import { connect } from 'node:net';
import { expect } from 'chai';
import { listenHttp } from '../http/mod.ts';
import { queueConnections } from '../http/testing/queueConnections.ts';
import type { LogFields } from '../log/mod.ts';
import type { Submission } from '../tasks/entry/mod.ts';
import { createCallerHandler } from './createCallerHandler.ts';

const MAX_UNREAD_BYTES = 65_536;

const CHUNK = 'x'.repeat(1024);

/** Upper bound of the bytes that an event adds to the text of its chunk. */
const EVENT_BYTES = 512;

describe('createCallerHandler', () => {
  it('disconnects a streaming caller that does not read once its unread bytes exceed the limit', async () => {
    let isAbandoned = false;
    let onAbandoned = (): void => undefined;
    const abandoned = new Promise<void>((resolve) => {
      onAbandoned = resolve;
    });
    const pump = ({ onEvent }: Submission): void => {
      if (isAbandoned) return;
      onEvent({ kind: 'chunk', text: CHUNK, tokens: 1 });
      setImmediate(() => pump({ onEvent } as Submission));
    };
    const logged: LogFields[] = [];
    const handler = createCallerHandler({
      task: {
        submit: (submission) => {
          submission.onEvent({ kind: 'started', servedBy: 't/a@1', host: 'h' });
          pump(submission);
        },
        abandon: () => {
          isAbandoned = true;
          onAbandoned();
        },
        mayBeCallerToken: () => true,
        modelsOf: () => [],
      },
      maxUnreadBytes: MAX_UNREAD_BYTES,
      log: (_name, fields = {}) => logged.push(fields),
    });
    const listener = await listenHttp({ ip: '127.0.0.1', port: 0 }, handler);
    const socket = connect(listener.port, '127.0.0.1');
    socket.on('error', () => undefined);
    const body = '{"model":"t/a@1","prompt":"","stream":true}';
    socket.write(
      `POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
    );
    await abandoned;
    socket.destroy();
    await listener.abort();
    expect(logged).to.have.length(1);
    const unread = Number(logged[0]?.unreadBytes);
    expect(unread).to.be.within(MAX_UNREAD_BYTES, MAX_UNREAD_BYTES + CHUNK.length + EVENT_BYTES);
  });

  it('responds 401 to an unknown token before reading the body', async () => {
    const handler = createCallerHandler({
      task: {
        submit: () => undefined,
        abandon: () => undefined,
        mayBeCallerToken: () => false,
        modelsOf: () => [],
      },
      log: () => undefined,
    });
    const listener = await listenHttp({ ip: '127.0.0.1', port: 0 }, handler);
    const socket = connect(listener.port, '127.0.0.1');
    socket.write('POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 900\r\n\r\nnot json');
    let response = '';
    for await (const piece of socket) response += String(piece);
    await listener.abort();
    expect(response).to.match(/^HTTP\/1\.1 401 [^]*connection: close/i);
  });

  it('submits no request of a caller that left before it was read', async () => {
    const submitted: string[] = [];
    const handler = createCallerHandler({
      task: {
        submit: ({ requestId }) => submitted.push(requestId),
        abandon: () => undefined,
        mayBeCallerToken: () => true,
        modelsOf: () => [],
      },
      log: () => undefined,
    });
    const listener = await listenHttp({ ip: '127.0.0.1', port: 0 }, handler);
    const body = '{"model":"t/a@1","prompt":"","stream":true}';
    await queueConnections({
      port: listener.port,
      count: 8,
      request: () =>
        `POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
      departure: () => 'close',
    }).closed;
    await listener.abort();
    expect(submitted).to.deep.equal([]);
  });
});
