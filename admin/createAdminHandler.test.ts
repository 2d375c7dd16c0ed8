import type { IncomingMessage } from 'node:http';
import { expect } from 'chai';
import { request } from 'undici';
import { createVirtualClock } from '../core/clock/mod.ts';
import { BurnRecorder } from '../core/burn/mod.ts';
import { checkSet, indexSet, parseSet, sha256 } from '../core/set/mod.ts';
import type { PublishedSet } from '../core/set/mod.ts';
import { listenHttp } from '../http/mod.ts';
import type { HttpListener } from '../http/mod.ts';
import type { LogFields } from '../log/mod.ts';
import { authorize } from './_authorize.ts';
import { MAX_ROWS, namesAfter } from './_paging.ts';
import type { Page } from './_paging.ts';
import { createAdminHandler } from './createAdminHandler.ts';
import { RecentEvents } from './recentEvents.ts';

const ADAPTERS = 96_000;

const NAMES = Array.from(
  { length: ADAPTERS },
  (_, index) => `t/a${String(index).padStart(5, '0')}`,
);

const BASE = '[tenant t]\n[base_model m]\n';

const OPERATORS = `
[operator reader]
token_sha256 = ${sha256('reader')}
[operator checker]
token_sha256 = ${sha256('checker')}
scopes = read, check
`;

function setOf(text: string): PublishedSet {
  const { objects, problems } = checkSet(parseSet([{ file: 'set.ini', text }]).declarations);
  expect(problems).to.deep.equal([]);
  return indexSet(objects, { generation: 3, digest: 'd' });
}

type TestResponse = { readonly status: number; readonly body: unknown };

class Fixture {
  readonly clock = createVirtualClock();

  readonly logged: LogFields[] = [];

  set: PublishedSet | undefined;

  #listener: HttpListener | undefined;

  async start(): Promise<void> {
    const identity = { role: 'entry', host: 'entry-1', incarnation: 'i' } as const;
    const burn = new BurnRecorder({ identity, startedAt: 0 });
    const handler = createAdminHandler({
      clock: this.clock,
      log: (_event, fields = {}) => this.logged.push(fields),
      maxBodyBytes: 10_000,
      source: {
        holdsWholeSet: true,
        status: () => ({ generation: 3 }),
        burn: () => burn.snapshot(this.clock.now()),
        set: () => this.set,
        lists: {
          adapters: (after) => namesAfter(NAMES, after).map((key) => ({ key, tenant: 't' })),
        },
      },
    });
    this.#listener = await listenHttp({ ip: '127.0.0.1', port: 0 }, handler);
  }

  async send(
    path: string,
    options: { method?: 'GET' | 'POST' | 'DELETE'; token?: string; body?: string } = {},
  ): Promise<TestResponse> {
    const { method = 'GET', token, body } = options;
    const response = await request(`http://127.0.0.1:${this.#listener?.port}${path}`, {
      method,
      headers: token === undefined ? {} : { authorization: `Bearer ${token}` },
      ...(body === undefined ? {} : { body }),
    });
    return { status: response.statusCode, body: await response.body.json() };
  }

  async stop(): Promise<void> {
    await this.#listener?.abort();
  }
}

describe('createAdminHandler', () => {
  let fixture: Fixture;

  beforeEach(async () => {
    fixture = new Fixture();
    await fixture.start();
  });

  afterEach(() => fixture.stop());

  describe('paged lists', () => {
    it('return each of 96,000 rows once, in pages of bounded size', async () => {
      const seen: string[] = [];
      let after = '';
      for (;;) {
        const path = `/admin/v1/adapters?limit=1000000&after=${encodeURIComponent(after)}`;
        const page = (await fixture.send(path)).body as Page;
        expect(page.rows.length).to.be.at.most(MAX_ROWS);
        seen.push(...page.rows.map((row) => row.key));
        if (page.next === undefined) break;
        after = page.next;
      }
      expect(seen).to.deep.equal(NAMES);
    });

    it('limit the rows that a filter without matches scans, and return a cursor', async () => {
      const page = (await fixture.send('/admin/v1/adapters?tenant=none')).body as Page;
      expect(page.rows).to.deep.equal([]);
      expect(page.next).to.equal(NAMES[19_999]);
    });

    it('filter rows by prefix', async () => {
      const page = (await fixture.send('/admin/v1/adapters?key=t/a0001*')).body as Page;
      expect(page.rows).to.have.length(10);
    });
  });

  describe('authorization', () => {
    it('checks the scopes of operators if the set declares any', async () => {
      fixture.set = setOf(BASE + OPERATORS);
      const statuses = await Promise.all([
        fixture.send('/admin/v1/status'),
        fixture.send('/admin/v1/status', { token: 'guess' }),
        fixture.send('/admin/v1/status', { token: 'reader' }),
        fixture.send('/admin/v1/check', { method: 'POST', token: 'reader', body: '{"files":[]}' }),
        fixture.send('/admin/v1/check', { method: 'POST', token: 'checker', body: '{"files":[]}' }),
      ]);
      expect(statuses.map(({ status }) => status)).to.deep.equal([401, 401, 200, 403, 200]);
    });

    it('allows only loopback clients while the set has no operators', () => {
      const from = (remoteAddress: string): string =>
        authorize(
          { headers: {}, socket: { remoteAddress } } as unknown as IncomingMessage,
          'read',
          undefined,
        ).kind;
      expect(from('127.0.0.1')).to.equal('allowed');
      expect(from('10.1.2.3')).to.equal('refused');
      expect(from('2001:db8::127.0.0.1')).to.equal('refused');
    });

    it('logs refusals once a second, with their count and without tokens', async () => {
      fixture.set = setOf(BASE + OPERATORS);
      for (let index = 0; index < 20; index += 1) {
        await fixture.send('/admin/v1/status', { token: `guess-${index}` });
      }
      expect(fixture.logged).to.have.length(1);
      fixture.clock.advanceTo(1000);
      await fixture.send('/admin/v1/status', { token: 'guess' });
      expect(fixture.logged[1]).to.include({ count: 20 });
      expect(JSON.stringify(fixture.logged)).not.to.contain('guess');
    });
  });

  describe('POST /admin/v1/check', () => {
    const check = (text: string): Promise<TestResponse> => {
      const body = JSON.stringify({ files: [{ file: 'new.ini', text }] });
      return fixture.send('/admin/v1/check', { method: 'POST', body });
    };

    it('compares a valid proposal with the set in force without storing it', async () => {
      fixture.set = setOf(`${BASE}[limit t]\nrequests_per_second = 1\n`);
      const before = fixture.set;
      const { body } = await check(`${BASE}[limit t]\nrequests_per_second = 2\n[service t/s]\n`);
      expect(body).to.deep.include({ sound: true, comparedWith: 3 });
      expect(body).to.have.nested.property('differences.limit.changed', 1);
      expect(body).to.have.nested.property('differences.service.added', 1);
      expect(fixture.set).to.equal(before);
    });

    it('reports the file and line of a problem', async () => {
      const { body } = await check('[limit none]\n');
      expect(JSON.stringify(body)).to.contain('new.ini:1');
    });

    it('refuses a body that is too large or not a proposal', async () => {
      expect((await check('x'.repeat(20_000))).status).to.equal(413);
      expect(
        (await fixture.send('/admin/v1/check', { method: 'POST', body: '[' })).status,
      ).to.equal(400);
    });
  });

  it('refuses methods that could change state', async () => {
    expect((await fixture.send('/admin/v1/status', { method: 'POST' })).status).to.equal(405);
    expect((await fixture.send('/admin/v1/adapters', { method: 'DELETE' })).status).to.equal(405);
  });
});

describe('RecentEvents', () => {
  it('keeps only the latest events', () => {
    const clock = createVirtualClock();
    const events = new RecentEvents(clock, 4);
    const log = events.wrapLog(() => undefined);
    for (let index = 0; index < 100; index += 1) log('linkReady', { peer: `h${index}` });
    const rows = events.after('');
    expect(rows.length).to.be.within(4, 8);
    expect(rows.at(-1)).to.include({ peer: 'h99', event: 'HS3001' });
  });
});
