import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import { BackendServerStandin } from '../../platform/testing/mod.ts';
import { INVALID_RECORDS } from './testing/invalidRecords.ts';
import { startEntryFleet } from './testing/entryFleet.ts';
import type { EntryFleet } from './testing/entryFleet.ts';
import { startServingWorld } from './testing/servingWorld.ts';
import type { ServingWorld } from './testing/servingWorld.ts';

/** Fewer than one server takes at once. */
const CALLS = 8;

describe('a record of the store that names no usable server', () => {
  let world: ServingWorld;

  let added: BackendServerStandin;

  async function start(records: Readonly<Record<string, unknown>> = {}): Promise<void> {
    world = await startServingWorld({ graceMs: 100, records });
    added = new BackendServerStandin({ id: 'i-app-3' });
    await added.listen();
  }

  async function stop(): Promise<void> {
    await world.close();
    await added.close();
  }

  function changeOf(id: string, change: string): Promise<unknown> {
    return world.logged(
      ({ event, fields }) =>
        event === 'serverChanged' && fields.server === id && fields.change === change,
    );
  }

  async function expectServed(): Promise<void> {
    const results = await Promise.all(
      Array.from({ length: CALLS }, (_, number) =>
        world.call({ id: `r${number}`, path: `/book/${number}` }),
      ),
    );
    const statuses = results.map(({ status }) => status);
    expect(statuses).to.deep.equal(Array.from({ length: CALLS }, () => 200));
  }

  function expectNoOutage(): void {
    expect(world.lines.filter(({ event }) => event === 'storeDown')).to.deep.equal([]);
  }

  // Guards against one record that keeps its neighbours from being applied.
  Object.entries(INVALID_RECORDS).forEach(([name, [key, value]]) => {
    describe(`with ${name}`, () => {
      afterEach(stop);

      it('stands there when the entry starts', async () => {
        await start({ [key]: value });
        await expectServed();
        world.store.putServer('i-app-3', added.record('app'));
        await changeOf('i-app-3', 'listed');
        expectNoOutage();
      });

      it('comes in one update with others', async () => {
        await start();
        // The first change ends the watch; all others come together with the next one.
        world.store.putServer('i-app-1', world.apps[0]!.record('app'));
        world.store.put(key, value);
        world.store.putServer('i-app-3', added.record('app'));
        world.store.removeServer('i-app-2');
        await Promise.all([changeOf('i-app-3', 'listed'), changeOf('i-app-2', 'left')]);
        expectNoOutage();
        await expectServed();
      });

      it('comes when all records are read anew', async () => {
        await start();
        world.store.compact();
        world.store.put(key, value);
        world.store.putServer('i-app-3', added.record('app'));
        world.store.compact();
        await changeOf('i-app-3', 'listed');
        await expectServed();
      });
    });
  });

  describe('with many of these at once', () => {
    afterEach(stop);

    // Guards against an error that ends the task which removes servers whose records have expired.
    it('stand there through an outage in which the record of a server expires', async () => {
      const records = Object.values(INVALID_RECORDS).map(
        ([key, value], index) => [`${key}${index}`, value] as const,
      );
      await start(Object.fromEntries(records));
      world.store.mode = 'busy';
      await world.logged(({ event, fields }) => event === 'storeDown' && fields.prefix !== 'op/');
      await sleep(400);
      world.store.removeServer('i-app-2');
      world.store.mode = 'sound';
      await changeOf('i-app-2', 'left');
      expect(await world.isReady()).to.equal(true);
      await expectServed();
    });
  });

  describe('with records of 1 MB that come at once', () => {
    /** Time within which a server that drains must get no more requests. */
    const DRAIN_MS = 2000;

    afterEach(stop);

    // Guards against changes that no entry can read, and that are asked for again and again.
    [1, 5, 12].forEach((count) => {
      it(`do not keep the entry from learning that a server drains (${count})`, async () => {
        await start();
        const large = 'x'.repeat(1_000_000);
        for (let index = 0; index < count; index += 1) world.store.put(`servers/a${index}`, large);
        const putAt = performance.now();
        world.store.putServer('i-app-1', world.apps[0]!.record('app', 'draining'));
        await changeOf('i-app-1', 'leaving');
        expect(performance.now() - putAt).to.be.below(DRAIN_MS);
        await expectServed();
        expect(world.apps[0]!.runs).to.have.length(0);
      });
    });
  });

  describe('that another entry passes on', () => {
    let fleet: EntryFleet;

    afterEach(async () => {
      await fleet.close();
    });

    it('does not keep the records after it from an entry that does not read the store', async () => {
      fleet = await startEntryFleet({
        entries: 3,
        plainServers: 3,
        engines: 0,
        keyWithdrawalMs: 5000,
      });
      fleet.store.putServer('i-app-1', fleet.servers[1]!.record('app'));
      Object.values(INVALID_RECORDS).forEach(([key, value], index) =>
        fleet.store.put(`${key}${index}`, value),
      );
      fleet.store.removeServer('i-app-2');
      await Promise.all(
        fleet.entries.map(({ logged }) =>
          logged(({ fields }) => fields.server === 'i-app-2' && fields.change === 'left'),
        ),
      );
      const taught = fleet.entries.flatMap(({ lines }) =>
        lines.filter(({ event }) => event === 'peerTaught'),
      );
      expect(taught).to.not.have.length(0);
      const results = await Promise.all(
        fleet.entries.flatMap((entry, index) =>
          [0, 1, 2, 3].map((number) =>
            entry.call({ id: `r${index}-${number}`, path: `/book/${number}` }),
          ),
        ),
      );
      results.forEach(({ status }) => expect(status).to.equal(200));
    });
  });
});
