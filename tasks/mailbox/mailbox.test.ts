import { setImmediate as turn } from 'node:timers/promises';
import { expect } from 'chai';
import { Mailbox } from './mod.ts';

describe('Mailbox', () => {
  it('handles messages in FIFO order, the first synchronously when it is idle', async () => {
    const seen: number[] = [];
    const mailbox = new Mailbox<number>({
      handle: (message) => {
        seen.push(message);
        if (message === 1) mailbox.post(4);
      },
      onError: (error) => expect.fail(String(error)),
    });
    [1, 2, 3].forEach((message) => mailbox.post(message));
    await turn();
    expect(seen).to.deep.equal([1, 4, 2, 3]);
  });

  it('reports an error thrown by the handler and handles the next message', async () => {
    const seen: number[] = [];
    const errors: unknown[] = [];
    const mailbox = new Mailbox<number>({
      handle: (message) => {
        if (message === 1) throw new Error('one');
        seen.push(message);
      },
      onError: (error) => errors.push(String(error)),
    });
    [1, 2].forEach((message) => mailbox.post(message));
    await turn();
    expect({ seen, errors }).to.deep.equal({ seen: [2], errors: ['Error: one'] });
  });

  it('drops queued messages once it is closed, even by its own handler', async () => {
    const seen: number[] = [];
    const mailbox = new Mailbox<number>({
      handle: (message) => {
        seen.push(message);
        mailbox.close();
      },
      onError: (error) => expect.fail(String(error)),
    });
    [1, 2].forEach((message) => mailbox.post(message));
    await turn();
    mailbox.post(3);
    await turn();
    expect(seen).to.deep.equal([1]);
    expect(mailbox.size).to.equal(0);
  });
});
