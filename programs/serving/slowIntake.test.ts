import { expect } from 'chai';
import { connectLeavingCallers } from '../../http/testing/leavingCallers.ts';
import { queueConnections } from '../../http/testing/queueConnections.ts';
import { slowTurns } from '../../http/testing/slowTurns.ts';
import { startServingWorld } from './testing/servingWorld.ts';
import type { ServingWorld } from './testing/servingWorld.ts';

const TIMEOUT_MS = 1000;

/** Time after its timeout within which a request must be answered. */
const MAX_LATE_MS = 500;

describe('a gateway whose turns are slow while connections wait to be accepted', () => {
  let world: ServingWorld;

  beforeEach(async () => {
    world = await startServingWorld({ graceMs: 200, timeoutMs: TIMEOUT_MS });
    world.apps.forEach((app) => {
      app.fault = 'silent';
    });
  });

  afterEach(async () => {
    await world.close();
  });

  function request(name: string, index: number): string {
    return (
      `GET /look/${index} HTTP/1.1\r\nHost: house.example\r\nX-Request-Id: ${name}-${index}\r\n` +
      'X-Deadline-Ms: 4000\r\n\r\n'
    );
  }

  // Guards against requests that wait to be handled while their timeouts do not run.
  it('answers requests that it has read by their timeout', async () => {
    const { callerPort: port } = world.gateway;
    const callers = await connectLeavingCallers({
      port,
      count: 4,
      intervalMs: 0,
      patienceMs: 4500,
      request: (index) => request('read', index),
    });
    queueConnections({ port, count: 60, request: (index) => request('queued', index) });
    const [waits] = await Promise.all([callers.send(), slowTurns({ turnMs: 100, turns: 45 })]);
    waits.forEach((waitMs) => {
      expect(waitMs ?? Infinity).to.be.at.most(TIMEOUT_MS + MAX_LATE_MS);
    });
  });
});
