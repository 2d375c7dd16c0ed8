import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import { connectLeavingCallers } from '../../http/testing/leavingCallers.ts';
import { startServingWorld } from './testing/servingWorld.ts';
import type { ServingWorld } from './testing/servingWorld.ts';

const LONG_GRACE_MS = 2400;

describe('a gateway that is stopped', () => {
  let world: ServingWorld;

  beforeEach(async () => {
    world = await startServingWorld({ graceMs: 600 });
  });

  afterEach(async () => {
    await world.close();
  });

  it('answers a request whose server is silent at the end of the grace period, and does not cut it', async () => {
    world.apps.forEach((app) => {
      app.fault = 'silent';
    });
    const answer = world
      .call({ id: 'r1', path: '/book/1' })
      .then(({ status }) => status)
      .catch((error: unknown) => String(error));
    await world.logged(({ event }) => event === 'requestPlaced');
    await world.gateway.leave();
    expect(await answer).to.equal(502);
  });

  // Guards against taking requests that cannot end before the process does.
  it('passes on none of the requests that come late in the grace period, and answers them', async () => {
    await world.close();
    world = await startServingWorld({ graceMs: LONG_GRACE_MS });
    const callers = await connectLeavingCallers({
      port: world.gateway.callerPort,
      count: 12,
      intervalMs: 10,
      patienceMs: 1000,
      request: (index) =>
        `POST /book/${index} HTTP/1.1\r\nHost: house.example\r\nX-Request-Id: late-${index}\r\n` +
        'X-Deadline-Ms: 4000\r\nContent-Length: 0\r\n\r\n',
    });
    world.apps.forEach((app) => {
      app.fault = 'silent';
    });
    // Keeps the gateway from stopping earlier.
    const open = world.call({ id: 'r1', path: '/look/1' });
    await world.logged(({ event }) => event === 'requestPlaced');
    const leaving = world.gateway.leave();
    // Half of the grace period is for callers that have not noticed yet.
    await sleep(LONG_GRACE_MS / 2 + 20);
    const waits = await callers.send();
    await Promise.all([open, leaving]);
    const paths = world.apps.flatMap(({ runs }) => runs).map(({ path }) => path);
    expect(paths.filter((path) => path.startsWith('/book/'))).to.deep.equal([]);
    expect(waits).to.not.include(undefined);
  });
});
