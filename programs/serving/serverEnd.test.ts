import { expect } from 'chai';
import { setTimeout as sleep } from 'node:timers/promises';
import { BackendServerStandin } from '../../platform/testing/mod.ts';
import { startEntryFleet } from './testing/entryFleet.ts';
import type { EntryFleet } from './testing/entryFleet.ts';
import type { LogLine } from './testing/servingWorld.ts';

describe('a gateway whose backend server', () => {
  let fleet: EntryFleet;

  beforeEach(async () => {
    fleet = await startEntryFleet({ entries: 1, plainServers: 1, engines: 0 });
    fleet.servers[0]!.crashingParts = new Set(['bad0']);
  });

  afterEach(async () => {
    await fleet.close();
  });

  function endLines(): readonly LogLine[] {
    return fleet.entries[0]!.lines.filter(({ event }) => event === 'serverEnded');
  }

  it('crashes logs what ran there, with its prompt parts, and whether it had begun', async () => {
    const [entry] = fleet.entries;
    const headers = { 'X-Prompt-Prefix': 'aa:10,bad0:20,own:30' };
    await entry!.call({ id: 'first', path: '/book/1', headers });
    const { fields } = await entry!.logged(({ event }) => event === 'serverEnded');
    expect(fields).to.include({ server: 'i-app-0', service: 'app', requests: 1 });
    expect(fields.lost).to.match(
      /^first,r2,-,aa\+bad0\+own,sent=\d+,writing=no,request:[\w-]{22}$/,
    );
  });

  it('closes one connection of several is not logged as having ended', async () => {
    const [entry] = fleet.entries;
    const [server] = fleet.servers;
    const calls = ['a', 'b', 'c'].map((id) => entry!.call({ id, path: `/book/${id}` }));
    await Promise.all(calls);
    server!.fault = 'reset';
    await entry!.call({ id: 'reset', path: '/book/reset' });
    server!.fault = 'none';
    // Losses shortly after each other count as one.
    await sleep(200);
    await entry!.call({
      id: 'crash',
      path: '/book/crash',
      headers: { 'X-Prompt-Prefix': 'bad0:1,own:2' },
    });
    await entry!.logged(({ event }) => event === 'serverEnded');
    expect(endLines().map(({ fields }) => String(fields.lost).split(',')[0])).to.deep.equal([
      'crash',
    ]);
  });

  it('starts again at another address is called there', async () => {
    const [entry] = fleet.entries;
    await entry!.call({ id: 'before', path: '/book/before' });
    const restarted = new BackendServerStandin({ id: 'i-app-0' });
    await restarted.listen();
    await fleet.servers[0]!.close();
    fleet.store.putServer('i-app-0', restarted.record('app', 'ready', 2000));
    while (restarted.received.length === 0) {
      await entry!.call({ id: 'after', path: '/book/after' });
      await sleep(20);
    }
    await restarted.close();
  });
});
