import { expect } from 'chai';
import { createVirtualClock } from '../../core/clock/mod.ts';
import { LOG_EVENTS } from '../../log/mod.ts';
import type { LogFields } from '../../log/mod.ts';
import { SimulatedService } from '../../standins/mod.ts';
import { encodeEnvelope } from '../_codec.ts';
import { SidecarTask } from './sidecarTask.ts';

type LoggedEvent = { readonly number: string; readonly fields: LogFields };

function settle(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

describe('SidecarTask', () => {
  let logged: LoggedEvent[];
  let closed: number;
  let task: SidecarTask;
  const clock = createVirtualClock();

  beforeEach(() => {
    logged = [];
    closed = 0;
    task = new SidecarTask({
      clock,
      identity: { role: 'sidecar', host: 's', incarnation: 'i' },
      backendServer: 's',
      backend: { kind: 'service', service: new SimulatedService(clock) },
      linkKeys: ['the-link-key-0123456789'],
      nonce: () => 'nonce',
      log: (event, fields = {}) => logged.push({ number: LOG_EVENTS[event].number, fields }),
    });
  });

  async function send(bytes: Uint8Array): Promise<void> {
    const close = (): void => {
      closed += 1;
    };
    const events = task.accept({ send: () => undefined, close });
    events.received(bytes);
    await settle();
  }

  it('closes connections that send malformed frames, and logs this at most once a second', async () => {
    for (let index = 0; index < 30; index += 1) await send(Uint8Array.of(0xc1, index));
    expect(closed).to.equal(30);
    expect(logged.map(({ number }) => number)).to.deep.equal(['HS3004']);
    clock.advanceTo(clock.now() + 1000);
    await send(Uint8Array.of(0xc1));
    expect(logged.at(-1)).to.deep.include({ number: 'HS3004' });
    expect(logged.at(-1)?.fields).to.include({ dropped: 29 });
  });

  it('closes a connection that sends a cancel frame before it has authenticated, and logs this', async () => {
    await send(encodeEnvelope({ sequence: 0, frame: { kind: 'cancel', exchange: 'x' } }));
    expect(closed).to.equal(1);
    expect(logged.map(({ number }) => number)).to.deep.equal(['HS3003']);
  });
});
