import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import type { Socket } from 'node:net';
import { expect } from 'chai';
import { readFirstClock } from './mod.ts';
import { pauseProcess } from './testing/pauseProcess.ts';

describe('readFirstClock', () => {
  it('runs a call that became due in a pause after reading what arrived in it', async () => {
    const server = createServer();
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const bound = server.address();
    const caller = connect(
      typeof bound === 'object' && bound !== null ? bound.port : 0,
      '127.0.0.1',
    );
    const [accepted] = (await once(server, 'connection')) as [Socket];
    const events: string[] = [];
    accepted.on('data', () => events.push('read'));
    const due = new Promise<void>((resolve) => {
      readFirstClock.schedule(5, () => {
        events.push('due');
        resolve();
      });
    });
    caller.write('x');
    pauseProcess(20);
    await due;
    caller.destroy();
    server.close();
    expect(events).to.deep.equal(['read', 'due']);
  });

  it('does not run a call that is cancelled after it became due', async () => {
    let hasRun = false;
    const cancel = readFirstClock.schedule(1, () => {
      hasRun = true;
    });
    const cancelled = new Promise<void>((resolve) => {
      setTimeout(() => {
        cancel();
        setImmediate(() => setImmediate(resolve));
      }, 1);
    });
    // Both timers are due in the same turn, so that the call is cancelled before it runs.
    pauseProcess(10);
    await cancelled;
    expect(hasRun).to.equal(false);
  });
});
