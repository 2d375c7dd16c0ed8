import { expect } from 'chai';
import { DEPLOYMENT_KEY } from '../../platform/mod.ts';
import { sampleDeployment } from '../../platform/testing/mod.ts';
import { ReaderWorld } from './testing/readerWorld.ts';

/** Installations, and the time within which a change must be in force at every entry. */
const INSTALLATIONS = [
  { entries: 68, zones: 6, linkMbps: 14, applyMs: 4000 },
  { entries: 24, zones: 4, linkMbps: 7, applyMs: 3000 },
] as const;

const BITS_IN_BYTE = 8;

const ROUTES = 1550;

const CHANGES = 12;

const CHANGE_INTERVAL_MS = 1150;

/** Returns a configuration with many routes, whose names can hardly be compressed. */
function largeDeployment(world: ReaderWorld, version: number): Uint8Array {
  const moreRoutes = Array.from(
    { length: ROUTES },
    (_, index) => `${Math.floor(world.random() * 1e9).toString(36)}-${index}`,
  );
  return Buffer.from(JSON.stringify(sampleDeployment({ version, moreRoutes })));
}

describe('a large configuration that changes often', () => {
  INSTALLATIONS.forEach(({ entries, zones, linkMbps, applyMs }) => {
    // Guards against copies of one record that hold up the next over slow links.
    it(`is in force in time at ${entries} entries with links of ${linkMbps} Mbit/s`, async () => {
      const world = new ReaderWorld();
      world.put(DEPLOYMENT_KEY);
      world.put('servers/a');
      await world.startMany(entries, zones, { isStrict: false });
      await world.run(5000);
      world.network.linkBytesPerMs = (linkMbps * 1000) / BITS_IN_BYTE;
      let latestMs = 0;
      const check = (): void => {
        world.entries.forEach(({ mirrors }) => {
          const asOf = mirrors.get('op/')!.asOf!;
          const changedAt = world.changedAfter('op/', asOf);
          if (changedAt !== undefined) latestMs = Math.max(latestMs, world.now - changedAt);
        });
      };
      for (let version = 8; version < 8 + CHANGES; version += 1) {
        world.put(DEPLOYMENT_KEY, largeDeployment(world, version));
        await world.run(CHANGE_INTERVAL_MS, { everyMs: 25, check });
      }
      await world.run(applyMs, { everyMs: 25, check });
      expect(latestMs).to.be.below(applyMs);
    }).timeout(180_000);
  });
});
