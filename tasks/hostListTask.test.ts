import { expect } from 'chai';
import { createVirtualClock } from '../core/clock/mod.ts';
import type { LogEventName } from '../log/mod.ts';
import { HostListTask } from './hostListTask.ts';

describe('HostListTask', () => {
  async function failRead(stopsFirst: boolean): Promise<readonly LogEventName[]> {
    const events: LogEventName[] = [];
    let reject: (error: Error) => void = () => undefined;
    const task = new HostListTask({
      clock: createVirtualClock(),
      hostList: {
        read: () =>
          new Promise((_, fail) => {
            reject = fail;
          }),
      },
      log: (event) => events.push(event),
      onHosts: () => undefined,
    });
    task.start();
    if (stopsFirst) task.stop();
    reject(new Error('The client is destroyed'));
    await new Promise(setImmediate);
    return events;
  }

  it('logs a read that fails', async () => {
    expect(await failRead(false)).to.deep.equal(['hostListDown']);
  });

  it('does not report a read that its stop has cut off as an outage', async () => {
    expect(await failRead(true)).to.deep.equal([]);
  });
});
