import { expect } from 'chai';
import { queueConnections } from '../../http/testing/queueConnections.ts';
import { startServingWorld } from './testing/servingWorld.ts';
import type { ServingWorld } from './testing/servingWorld.ts';

const REQUEST_COUNT = 8;

describe('a caller that left before the gateway read its request', () => {
  let world: ServingWorld;

  /** Sends requests whose callers have left by the time that the gateway reads them. */
  async function sendAndLeave(path: string, headers = ''): Promise<void> {
    await queueConnections({
      port: world.gateway.callerPort,
      count: REQUEST_COUNT,
      request: (index) =>
        `POST ${path} HTTP/1.1\r\nHost: house.example\r\nX-Request-Id: gone-${index}\r\n` +
        `X-Deadline-Ms: 4000\r\n${headers}Content-Length: 0\r\n\r\n`,
      departure: 'close',
    }).closed;
    // Orders and requests on their way to the servers are there before those of a later caller.
    await world.call({ id: 'later', path: '/look/later' });
    await world.call({ id: 'later', path: '/draft/later', headers: { 'X-Model': 'm' } });
  }

  function idsRun(): readonly string[] {
    return [world.engine, ...world.apps]
      .flatMap(({ runs }) => runs)
      .map(({ headers }) => String(headers['x-request-id']))
      .filter((id) => id !== 'later');
  }

  beforeEach(async () => {
    world = await startServingWorld({ graceMs: 200 });
  });

  afterEach(async () => {
    await world.close();
  });

  const paths: Readonly<Record<string, string>> = {
    'a request that may run at most once': '/book/1',
    'a request that may be repeated': '/look/1',
    'a stream that may be resumed': '/long/1',
  };
  Object.entries(paths).forEach(([kind, path]) => {
    it(`has no server run its request (${kind})`, async () => {
      await sendAndLeave(path);
      expect(idsRun()).to.deep.equal([]);
    });
  });

  it('has no server run its request (a stream of a model)', async () => {
    await sendAndLeave('/draft/1', 'X-Model: m\r\n');
    expect(idsRun()).to.deep.equal([]);
  });

  it('has no adapter loaded', async () => {
    await sendAndLeave('/draft/1', 'X-Model: m/a1\r\n');
    expect(world.engine.orders).to.deep.equal([]);
  });
});
