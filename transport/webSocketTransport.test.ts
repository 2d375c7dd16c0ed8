import { expect } from 'chai';
import { dialWebSocket, listenWebSocket } from './mod.ts';

describe('dialWebSocket', () => {
  describe('with an invalid address', () => {
    // Guards against an address from a record or another process that ends the task which dials it.
    ['127.0.0.300:1', '127.0.0.1:99999', 'no address', '', '[::1'].forEach((address) => {
      it(`closes the connection later, and does not throw ("${address}")`, async () => {
        let isClosed = false;
        const closed = new Promise<void>((resolve) => {
          const connection = dialWebSocket(address, {
            opened: () => undefined,
            received: () => undefined,
            closed: () => {
              isClosed = true;
              resolve();
            },
          });
          connection.send(new Uint8Array(1));
        });
        expect(isClosed).to.equal(false);
        await closed;
      });
    });
  });
});

describe('listenWebSocket', () => {
  describe('with a message whose handler throws', () => {
    // Guards against an error in one message that leaves its connection deaf.
    it('reports the error and receives the messages after it', async () => {
      const received: number[] = [];
      let noteSecond: () => void = () => undefined;
      const second = new Promise<void>((resolve) => {
        noteSecond = resolve;
      });
      const listener = await listenWebSocket({ ip: '127.0.0.1', port: 0 }, () => ({
        opened: () => undefined,
        received: ([number]) => {
          received.push(number!);
          if (received.length === 1) throw new Error('first message');
          noteSecond();
        },
        closed: () => undefined,
      }));
      const handlers = process.listeners('uncaughtException');
      const errors: string[] = [];
      process.removeAllListeners('uncaughtException');
      process.on('uncaughtException', ({ message }) => errors.push(message));
      try {
        const connection = dialWebSocket(`127.0.0.1:${listener.port}`, {
          opened: () => [1, 2].forEach((number) => connection.send(Uint8Array.of(number))),
          received: () => undefined,
          closed: () => undefined,
        });
        await second;
      } finally {
        process.removeAllListeners('uncaughtException');
        handlers.forEach((handler) => process.on('uncaughtException', handler));
        await listener.close();
      }
      expect(received).to.deep.equal([1, 2]);
      expect(errors).to.deep.equal(['first message']);
    });
  });
});
