import { expect } from 'chai';
import { RouteTable } from './routeTable.ts';
import type { ServerReport } from './routeTable.ts';

const HOSTS = ['a', 'b', 'c', 'd'];

function report(host: string, changes: Partial<ServerReport> = {}): ServerReport {
  const load = { running: 0, waiting: 0, batchWidth: 4, freeSlots: 2, displacedUses: 0 };
  return { host, ...load, resident: [], wanted: [], ...changes };
}

function createTable(policy: 'load-stalls' | 'batch-efficiency' = 'load-stalls'): RouteTable {
  const table = new RouteTable({ policy });
  HOSTS.forEach((host) => table.add(host, 0));
  HOSTS.forEach((host) => table.applyReport(report(host)));
  return table;
}

function anyHost(): boolean {
  return true;
}

/** Returns a host that is not among the two preferred ones for an adapter version. */
function nonPreferredHost(table: RouteTable, adapterVersion: string): string {
  const first = table.choose(adapterVersion, anyHost);
  const second = table.choose(adapterVersion, (host) => host !== first);
  return HOSTS.find((host) => host !== first && host !== second)!;
}

describe('RouteTable', () => {
  describe('choose', () => {
    it('returns undefined when no server may take the request', () => {
      expect(createTable().choose('t/a@1', () => false)).to.equal(undefined);
    });

    it('prefers a server that holds the adapter version, whatever its rank', () => {
      const table = createTable();
      const holder = nonPreferredHost(table, 't/a@1');
      table.applyReport(report(holder, { resident: ['t/a@1'] }));
      expect(table.choose('t/a@1', anyHost)).to.equal(holder);
      table.applyReport(report(holder));
      expect(table.choose('t/a@1', anyHost)).not.to.equal(holder);
    });

    it('avoids a holder whose queue takes longer than a load', () => {
      const table = createTable();
      const holder = nonPreferredHost(table, 't/a@1');
      table.applyReport(report(holder, { resident: ['t/a@1'], running: 4, waiting: 4 }));
      expect(table.choose('t/a@1', anyHost)).not.to.equal(holder);
    });

    it('counts its own requests that the last report does not include', () => {
      const table = createTable();
      const holder = nonPreferredHost(table, 't/a@1');
      table.applyReport(report(holder, { resident: ['t/a@1'] }));
      for (let request = 0; request < 8; request += 1) table.recordSent(holder, 't/a@1');
      expect(table.choose('t/a@1', anyHost)).not.to.equal(holder);
      for (let request = 0; request < 8; request += 1) table.recordEnded(holder, 't/a@1');
      expect(table.choose('t/a@1', anyHost)).to.equal(holder);
    });

    it('prefers a server that already loads the adapter version for its own request', () => {
      const table = createTable();
      const holder = nonPreferredHost(table, 't/a@1');
      table.recordSent(holder, 't/a@1');
      table.applyReport(report(holder));
      expect(table.choose('t/a@1', anyHost)).to.equal(holder);
    });

    it('fills a running batch under the batch-efficiency policy', () => {
      const table = createTable('batch-efficiency');
      const [idle = '', busy = ''] = HOSTS;
      table.applyReport(report(idle, { resident: ['t/a@1'] }));
      table.applyReport(report(busy, { resident: ['t/a@1'], running: 3 }));
      const either = (host: string): boolean => host === idle || host === busy;
      expect(table.choose('t/a@1', either)).to.equal(busy);
    });

    it('does not choose a removed server', () => {
      const table = createTable();
      table.applyReport(report('a', { resident: ['t/a@1'] }));
      table.remove('a');
      expect(table.choose('t/a@1', (host) => host === 'a')).to.equal(undefined);
    });
  });
});
