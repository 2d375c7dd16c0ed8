import { connect } from 'node:net';
import { expect } from 'chai';
import { isDisconnected } from '../http/mod.ts';
import { CallerServer } from './mod.ts';

const LIMITS = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 65_536,
  headerTimeoutMs: 3000,
  idleTimeoutMs: 15_000,
};

describe('a caller that knows no chunks', () => {
  let server: CallerServer;

  beforeEach(async () => {
    server = new CallerServer({
      ip: '127.0.0.1',
      port: 0,
      limits: LIMITS,
      handle: ({ response }) => {
        response.begin({ status: 200, statusText: 'OK', headers: [] });
        response.write(Buffer.from('part'));
        setTimeout(() => response.abort(), 20);
      },
    });
    await server.listen();
  });

  afterEach(() => server.abort());

  // Guards against a truncated response that came in chunks and looks complete without them.
  ['HTTP/1.0', 'HTTP/0.9'].forEach((version) => {
    it(`gets a reset after a truncated response without a length (${version})`, async () => {
      const socket = connect(server.port, '127.0.0.1');
      const end = await new Promise((resolve) => {
        socket.on('error', () => resolve('reset'));
        socket.prependOnceListener('end', () =>
          resolve(isDisconnected(socket) ? 'reset' : 'close'),
        );
        socket.on('data', () => undefined);
        socket.write(`GET / ${version}\r\nHost: a\r\n\r\n`);
      });
      socket.destroy();
      expect(end).to.equal('reset');
    });
  });
});
