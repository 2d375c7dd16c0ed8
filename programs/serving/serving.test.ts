import { expect } from 'chai';
import type { BackendServerFault } from '../../platform/testing/mod.ts';
import { sampleDeployment } from '../../platform/testing/mod.ts';
import { startServingWorld } from './testing/servingWorld.ts';
import type { ServingWorld, ServingWorldOptions } from './testing/servingWorld.ts';

describe('a gateway and a keeper on the platform', () => {
  let world: ServingWorld;

  async function start(options: ServingWorldOptions = {}): Promise<void> {
    world = await startServingWorld({ graceMs: 200, ...options });
  }

  function setFault(fault: BackendServerFault): void {
    [world.engine, ...world.apps].forEach((server) => {
      server.fault = fault;
    });
  }

  function runCount(): number {
    return world.apps.reduce((sum, app) => sum + app.runs.length, 0);
  }

  afterEach(async () => {
    await world.close();
  });

  describe('a request that is served', () => {
    it('reaches the backend server with path, query and body unchanged', async () => {
      await start();
      const result = await world.call({ id: 'r1', path: '/book/a%20b?x=1', body: 'words' });
      expect(result).to.include({ status: 200, body: 'whole', isComplete: true });
      const [run] = world.apps.flatMap((app) => app.runs);
      expect(run).to.include({ path: '/book/a%20b?x=1', body: 'words' });
    });

    it('carries the remaining time and the intended server, and drops such headers from the caller', async () => {
      await start();
      const forged = {
        'X-Expect-Instance': 'i-other',
        'X-Hold': '1',
        'Kv-From': '1.2.3.4:5/6',
        'X-Request-Priority': '0',
        'X-Pin-Ms': '9',
        Connection: 'X-Secret',
        'X-Secret': 'yes',
        'X-Kept': 'kept',
      };
      await world.call({ id: 'r1', path: '/book/1', headers: forged });
      const [run] = world.apps.flatMap((app) => app.runs);
      const { headers } = run!;
      expect(headers['x-expect-instance']).to.match(/^i-app-/);
      expect(Number(headers['x-deadline-ms'])).to.be.within(1, 4000);
      expect(headers).to.not.have.any.keys('x-hold', 'kv-from', 'x-pin-ms', 'x-secret');
      expect(headers['x-kept']).to.equal('kept');
    });

    it('waits for its adapter to be loaded if no engine holds it', async () => {
      await start();
      const headers = { 'X-Model': 'm/a1' };
      const result = await world.call({ id: 'r1', path: '/draft/1', headers });
      expect(result.status).to.equal(200);
      expect(world.engine.orders).to.deep.equal(['load m/a1']);
    });

    it('runs on the latest published version of its adapter', async () => {
      await start();
      world.store.putRelease('m', 'a1', 3);
      await world.logged(({ event }) => event === 'releaseTaken');
      await world.call({ id: 'r1', path: '/draft/1', headers: { 'X-Model': 'm/a1' } });
      expect(world.engine.adapters.get('a1')).to.equal(3);
      expect(world.engine.runs[0]?.headers['x-expect-version']).to.equal('3');
    });
  });

  describe('an engine whose adapter slots are all occupied', () => {
    it('unloads an adapter that no request uses and never exceeds its slots', async () => {
      await start();
      for (const name of ['a1', 'a2', 'a3', 'a4']) {
        let status = 0;
        while (status !== 200) {
          const headers = { 'X-Model': `m/${name}` };
          status = (await world.call({ id: `r-${name}`, path: '/draft/1', headers })).status;
        }
        expect(world.engine.adapters.size).to.be.at.most(3);
      }
      expect(world.engine.orders.filter((order) => order.startsWith('unload'))).to.have.length(1);
    });
  });

  describe('a response that is incomplete or belongs to another request', () => {
    const untrustedFaults: readonly BackendServerFault[] = ['foreign', 'reset', 'shed'];
    untrustedFaults.forEach((fault) => {
      it(`is not forwarded for a request that may run at most once (${fault})`, async () => {
        await start();
        setFault(fault);
        const result = await world.call({ id: 'r1', path: '/book/1' });
        expect(result).to.include({ status: 502, body: '' });
        expect(result.headers).to.not.have.property('x-response-stamp');
        expect(runCount()).to.equal(1);
      });
    });

    const truncatingFaults: readonly BackendServerFault[] = ['torn', 'short', 'reset-unframed'];
    truncatingFaults.forEach((fault) => {
      it(`does not appear complete to the caller (${fault})`, async () => {
        await start();
        setFault(fault);
        const result = await world.call({ id: 'r1', path: '/book/1' }).catch(() => undefined);
        expect(result?.isComplete ?? false).to.equal(false);
        expect(runCount()).to.equal(1);
      });
    });

    it('is forwarded in chunks if it has no length, so that a truncated one does not look complete', async () => {
      await start();
      setFault('unframed');
      const result = await world.call({ id: 'r1', path: '/book/1' });
      expect(result).to.include({ status: 200, body: 'whole', isComplete: true });
      expect(result.headers).to.not.have.any.keys('content-length');
      expect(result.headers['transfer-encoding']).to.equal('chunked');
    });

    it('is never attributed to the next request on the same connection', async () => {
      await start();
      setFault('extra');
      for (let number = 0; number < 6; number += 1) {
        const result = await world.call({ id: `r${number}`, path: '/book/1' });
        expect(result).to.include({ status: 200, body: 'whole' });
        expect(result.headers['x-request-id']).to.equal(`r${number}`);
      }
    });
  });

  describe('a request that a server did not run', () => {
    it('is retried on another server', async () => {
      await start();
      world.apps[0]!.fault = 'not-run';
      for (let number = 0; number < 3; number += 1) {
        const result = await world.call({ id: `r${number}`, path: '/book/1' });
        expect(result.status).to.equal(200);
      }
      expect(world.apps[0]!.runs).to.have.length(0);
    });

    it('is refused with Retry-After if no server ran it', async () => {
      await start();
      setFault('not-run');
      const result = await world.call({ id: 'r1', path: '/book/1' });
      expect(result.status).to.equal(503);
      expect(Number(result.headers['retry-after'])).to.be.greaterThan(0);
      expect(runCount()).to.equal(0);
    });

    it('is refused if no server is listed', async () => {
      await start();
      ['i-app-1', 'i-app-2'].forEach((id) => world.store.removeServer(id));
      await world.logged(({ fields }) => fields.change === 'left' && fields.server === 'i-app-2');
      const result = await world.call({ id: 'r1', path: '/book/1' });
      expect(result.status).to.equal(503);
    });
  });

  describe('a request that may run more than once', () => {
    it('is retried when its server fails', async () => {
      await start();
      world.apps[0]!.fault = 'error';
      for (let number = 0; number < 4; number += 1) {
        const result = await world.call({ id: `r${number}`, path: '/look/1', method: 'GET' });
        expect(result.status).to.equal(200);
      }
    });

    it('gets the error response of its last server unchanged', async () => {
      await start();
      setFault('error');
      const result = await world.call({ id: 'r1', path: '/look/1', method: 'GET' });
      expect(result.status).to.equal(500);
      expect(result.headers).to.have.property('x-response-stamp');
      expect(runCount()).to.equal(2);
    });
  });

  describe('an interrupted stream', () => {
    const allEvents = [1, 2, 3, 4, 5, 6].map((id) => `id: ${id}\ndata: word\n\n`).join('');

    it('resumes at another server in the same response, with no event lost or repeated', async () => {
      await start();
      world.apps[0]!.fault = 'torn-stream';
      world.apps[1]!.fault = 'stream';
      for (let number = 0; number < 2; number += 1) {
        const result = await world.call({ id: `r${number}`, path: '/long/1' });
        expect(result).to.include({ status: 200, body: allEvents, isComplete: true });
      }
      const resumed = world.apps[1]!.runs.filter(({ headers }) => headers['last-event-id'] === '3');
      expect(resumed).to.have.length(world.apps[0]!.runs.length);
      expect(resumed).to.have.length.above(0);
    });

    it('is aborted after a complete event if no server can resume it', async () => {
      await start();
      setFault('torn-stream');
      const result = await world.call({ id: 'r1', path: '/long/1' });
      expect(result.isComplete).to.equal(false);
      expect(runCount()).to.equal(2);
    });

    it('is not resumed if its route does not allow it', async () => {
      await start();
      setFault('torn-stream');
      const result = await world.call({ id: 'r1', path: '/book/1' });
      expect(result.isComplete).to.equal(false);
      expect(runCount()).to.equal(1);
    });
  });

  describe('a final response', () => {
    it("is 504 after the route's timeout if the server is silent", async () => {
      await start({ timeoutMs: 300 });
      setFault('silent');
      const result = await world.call({ id: 'r1', path: '/book/1' });
      expect(result.status).to.equal(504);
    });

    it('is 503 with Retry-After while no configuration is known', async () => {
      await start({ hasDeployment: false });
      const result = await world.call({ id: 'r1', path: '/book/1' });
      expect(result.status).to.equal(503);
      expect(Number(result.headers['retry-after'])).to.be.greaterThan(0);
    });

    it('waits for a configuration that arrives right after startup', async () => {
      await start({ hasDeployment: false });
      const call = world.call({ id: 'r1', path: '/book/1' });
      world.store.putDeployment(sampleDeployment());
      expect((await call).status).to.equal(200);
    });

    it('is 404 if no route matches', async () => {
      await start();
      expect((await world.call({ id: 'r1', path: '/other/1' })).status).to.equal(404);
    });

    it('is 413 if the body exceeds the limit', async () => {
      await start();
      const result = await world
        .call({ id: 'r1', path: '/book/1', body: 'x'.repeat(70_000) })
        .catch(() => undefined);
      if (result !== undefined) expect(result.status).to.equal(413);
      expect(runCount()).to.equal(0);
    });
  });

  describe('a caller that disconnects', () => {
    it('has its request to the server aborted', async () => {
      await start();
      setFault('silent');
      const aborted = new Promise<void>((resolve) => {
        world.apps.forEach((app) => {
          app.onAborted = resolve;
        });
      });
      const disconnect = new AbortController();
      const call = world.call({ id: 'r1', path: '/book/1', signal: disconnect.signal });
      const polling = setInterval(() => {
        if (runCount() > 0) disconnect.abort();
      }, 5);
      await call.catch(() => undefined);
      clearInterval(polling);
      await aborted;
    });
  });

  describe('the configuration', () => {
    it('is applied when it changes, and an older version is ignored', async () => {
      await start();
      world.store.putDeployment({
        ...(sampleDeployment({ version: 9 }) as Record<string, unknown>),
        routes: [],
      });
      await world.logged(({ fields }) => fields.version === 9);
      world.store.putDeployment(sampleDeployment({ version: 8 }));
      await world.logged(({ event }) => event === 'deploymentOld');
      expect((await world.call({ id: 'r1', path: '/book/1' })).status).to.equal(404);
    });

    it('stays in force while the store is down, and is read in full once the store has compacted its history', async () => {
      await start();
      world.store.mode = 'busy';
      await world.logged(({ event }) => event === 'storeDown');
      expect((await world.call({ id: 'r1', path: '/book/1' })).status).to.equal(200);
      world.store.putDeployment(sampleDeployment({ version: 12 }));
      world.store.compact();
      world.store.mode = 'sound';
      await world.logged(({ fields }) => fields.version === 12);
    });

    it('stays in force if a record cannot be decoded', async () => {
      await start();
      world.store.putDeployment('not json');
      world.store.putServer('i-odd', { service: 4 });
      await world.logged(({ fields }) => fields.key === 'servers/i-odd');
      await world.logged(({ event }) => event === 'recordUnreadable');
      expect((await world.call({ id: 'r1', path: '/book/1' })).status).to.equal(200);
    });
  });
});
