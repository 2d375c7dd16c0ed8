import { expect } from 'chai';
import { connectLeavingCallers } from '../../http/testing/leavingCallers.ts';
import { queueConnections } from '../../http/testing/queueConnections.ts';
import { slowTurns } from '../../http/testing/slowTurns.ts';
import { openRawConnection } from '../../proxy/testing/rawConnection.ts';
import { pauseProcess } from '../../transport/testing/pauseProcess.ts';
import { startServingWorld } from './testing/servingWorld.ts';
import type { ServingWorld } from './testing/servingWorld.ts';

const REQUEST_COUNT = 8;

/** Longer than the time after which a repeatable request is sent to another server. */
const PAUSE_MS = 900;

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
      departure: () => 'close',
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

describe('a caller that left during a pause of the gateway', () => {
  let world: ServingWorld;

  beforeEach(async () => {
    world = await startServingWorld({ graceMs: 200 });
  });

  afterEach(async () => {
    await world.close();
  });

  it('has its request sent to no other server, though the server was silent for too long', async () => {
    // Idle connections to both servers let a retry leave at once.
    const firstCalls = Array.from({ length: 12 }, (_, index) => `first-${index}`);
    await Promise.all(firstCalls.map((id) => world.call({ id, path: '/look/first' })));
    expect(world.apps.map(({ runs }) => runs.length)).to.not.include(0);
    world.apps.forEach((app) => {
      app.fault = 'silent';
    });
    const caller = openRawConnection(world.gateway.callerPort);
    caller.socket.write(
      'GET /look/1 HTTP/1.1\r\nHost: house.example\r\nX-Request-Id: gone\r\n\r\n',
    );
    await world.logged(
      ({ event, fields }) => event === 'requestPlaced' && fields.request === 'gone',
    );
    caller.socket.destroy();
    pauseProcess(PAUSE_MS);
    const ended = await world.logged(
      ({ event, fields }) => event === 'gatewayRequestEnded' && fields.request === 'gone',
    );
    expect(ended.fields.end).to.equal('caller-gone');
    world.apps.forEach((app) => {
      app.fault = 'none';
    });
    await world.call({ id: 'later', path: '/look/later' });
    const runs = world.apps.flatMap((app) => app.runs);
    const ids = runs.map(({ headers }) => headers['x-request-id']);
    expect(ids.filter((id) => id === 'gone')).to.have.length.at.most(1);
    const placements = world.lines.filter(
      ({ event, fields }) => event === 'requestPlaced' && fields.request === 'gone',
    );
    expect(placements).to.have.length(1);
  });
});

describe('a caller that left while a turn of the event loop lasted long', () => {
  const TURN_MS = 1000;

  const CALLER_COUNT = 24;

  let world: ServingWorld;

  beforeEach(async () => {
    world = await startServingWorld({ graceMs: 200, timeoutMs: 20_000 });
  });

  afterEach(async () => {
    await world.close();
  });

  // Guards against forwarding on a read of the caller's connection from before its close arrived.
  it('has no server run its request, whenever in the turn it left', async () => {
    const callers = await connectLeavingCallers({
      port: world.gateway.callerPort,
      count: CALLER_COUNT,
      intervalMs: TURN_MS / CALLER_COUNT,
      patienceMs: TURN_MS * 2.5,
      request: (index) =>
        `GET /look/1 HTTP/1.1\r\nHost: house.example\r\nX-Request-Id: gone-${index}\r\n` +
        'X-Deadline-Ms: 20000\r\n\r\n',
    });
    // Idle connections let requests leave at once.
    const warmUps = Array.from({ length: CALLER_COUNT * 2 }, (_, index) => `first-${index}`);
    await Promise.all(warmUps.map((id) => world.call({ id, path: '/look/first' })));
    await Promise.all([callers.send(), slowTurns({ turnMs: TURN_MS, turns: 6 })]);
    await world.call({ id: 'later', path: '/look/later' });
    const ids = world.apps.flatMap(({ runs }) => runs).map((run) => run.headers['x-request-id']);
    expect(ids.filter((id) => String(id).startsWith('gone'))).to.deep.equal([]);
  });
});
