import { expect } from 'chai';
import type { BackendServerFault } from '../../platform/testing/mod.ts';
import { startServingWorld } from './testing/servingWorld.ts';
import type { CallerCall, CallerResult, ServingWorld } from './testing/servingWorld.ts';

const ALL_EVENTS = [1, 2, 3, 4, 5, 6].map((number) => `id: ${number}\ndata: word\n\n`).join('');

describe('a gateway whose backend server', () => {
  let world: ServingWorld;

  beforeEach(async () => {
    world = await startServingWorld({ graceMs: 200 });
  });

  afterEach(async () => {
    await world.close();
  });

  function setFault(fault: BackendServerFault): void {
    [world.engine, ...world.apps].forEach((server) => {
      server.fault = fault;
    });
  }

  /** Sends a request; the result of one whose connection is reset before the head is not complete. */
  async function call(request: CallerCall): Promise<CallerResult> {
    return world
      .call(request)
      .catch(() => ({ status: 0, headers: {}, body: '', isComplete: false }));
  }

  const streams: Readonly<Record<string, CallerCall>> = {
    'a stream of a model': { id: 'r1', path: '/draft/1', headers: { 'X-Model': 'm' } },
    'a stream that may be resumed': { id: 'r1', path: '/long/1' },
  };

  Object.entries(streams).forEach(([kind, request]) => {
    describe(`sends ${kind} without a length`, () => {
      it('passes it on whole when it ends after an event', async () => {
        setFault('unframed-stream');
        expect(await call(request)).to.include({ status: 200, body: ALL_EVENTS, isComplete: true });
      });

      it('and ends it inside an event does not let it look complete', async () => {
        setFault('unframed-torn-stream');
        const result = await call(request);
        expect(result.isComplete && result.status === 200).to.equal(false);
      });

      it('and ends it before the first event does not let it look complete', async () => {
        setFault('unframed-empty-stream');
        const result = await call(request);
        expect(result.isComplete && result.status === 200).to.equal(false);
      });
    });
  });

  it('sends an event without end has the stream continued elsewhere, and no memory filled', async () => {
    world.apps.forEach((app) => {
      app.fault = 'endless-event';
    });
    const result = call({ id: 'r1', path: '/long/1' });
    const { fields } = await world.logged(
      ({ event, fields: each }) => event === 'sendingEnded' && each.request === 'r1',
    );
    expect(fields).to.include({ end: 'unknown', detail: 'an event has no end' });
    setFault('stream');
    await result;
  });

  it('refuses with a body without end has the request refused, not held until its deadline', async () => {
    setFault('endless-not-run');
    expect(await call({ id: 'r1', path: '/book/1' })).to.include({ status: 503 });
  });

  // Guards against the text of a failure, or its head, inside a stream that has begun at another server.
  const failures: readonly BackendServerFault[] = [
    'error',
    'shed',
    'not-run',
    'foreign',
    'none',
    'unframed',
    'torn',
    'short',
    'extra',
    'reset',
    'endless-not-run',
  ];
  failures.forEach((fault) => {
    it(`breaks off a stream has nothing but its events passed on if the next one fails (${fault})`, async () => {
      // Either server may be the first.
      const [first, second] = world.apps;
      setFault('torn-stream');
      const result = call({ id: 'r1', path: '/long/1' });
      const { fields } = await world.logged(({ event }) => event === 'requestPlaced');
      const other = fields.server === 'i-app-1' ? second : first;
      other!.fault = fault;
      const { status, body, isComplete } = await result;
      expect(status === 0 || ALL_EVENTS.startsWith(body)).to.equal(true);
      expect(isComplete && status === 200 && body !== ALL_EVENTS).to.equal(false);
    });
  });
});
