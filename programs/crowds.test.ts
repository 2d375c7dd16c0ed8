import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import { request } from 'undici';
import { CROWDS, openDescriptors, peakMemoryMb, withCrowd } from './testing/crowd.ts';
import { FLEET_TOKEN, ProcessFleet } from './testing/processFleet.ts';

const HELD_BYTES = 33_554_432;

const MAX_MEMORY_MB = 300;

const MAX_DESCRIPTORS = 1000;

// Guards against crowds of clients that made an entry run out of memory, or kept it from all other work.
describe('an entry with a crowd of clients that do not behave', () => {
  let fleet: ProcessFleet;

  beforeEach(async () => {
    fleet = await ProcessFleet.start({
      entrySettings: `[limits]\nheld_bytes = ${HELD_BYTES}\nbody_bytes = 2097152`,
    });
  });

  afterEach(() => fleet.stop());

  /** Sends a request as a caller does that comes back when it is refused. */
  async function callUntilAnswered(): Promise<number> {
    for (;;) {
      const { statusCode, body } = await request(`${fleet.url}/v1/completions`, {
        method: 'POST',
        headers: { authorization: `Bearer ${FLEET_TOKEN}` },
        body: JSON.stringify({ model: 't/a@1', prompt: 'a page', max_tokens: 2 }),
      });
      await body.dump();
      if (statusCode !== 503 && statusCode !== 429) return statusCode;
      await sleep(500);
    }
  }

  Object.entries(CROWDS).forEach(([name, crowd]) => {
    it(`goes on, stays within its memory and answers others (${name})`, async () => {
      const { hostname, port } = new URL(fleet.url);
      const target = {
        ip: hostname,
        port: Number(port),
        path: '/v1/completions',
        emptyPath: '/v1/models',
        header: `Authorization: Bearer ${FLEET_TOKEN}`,
      };
      await withCrowd(crowd, target, async () => {
        expect(await callUntilAnswered()).to.equal(200);
        expect(peakMemoryMb(fleet.entry.pid)).to.be.below(MAX_MEMORY_MB);
        expect(openDescriptors(fleet.entry.pid)).to.be.below(MAX_DESCRIPTORS);
      });
    });
  });
});
