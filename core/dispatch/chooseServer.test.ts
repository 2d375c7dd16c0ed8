import { expect } from 'chai';
import type { BackendServer } from '../serving/mod.ts';
import { chooseServer, ServerView } from './mod.ts';
import type { ChoiceRequest } from './mod.ts';

type ViewOptions = {
  readonly holdings?: Readonly<Record<string, number>>;
  readonly running?: number;
  readonly freeablePlaces?: number;
  readonly awaited?: number;
  readonly state?: 'ready' | 'draining';
  readonly pauseMs?: number;
  readonly availabilityZone?: string;
  readonly hasKeeper?: boolean;
};

const NOW = 10_000;

function view(id: string, options: ViewOptions = {}): ServerView {
  const { holdings = {}, running = 0, freeablePlaces = 4, awaited = 0, hasKeeper = true } = options;
  const server: BackendServer = {
    id,
    service: 's',
    address: '10.0.0.1:80',
    availabilityZone: options.availabilityZone ?? 'z1',
    slots: 64,
    state: options.state ?? 'ready',
    holdings: [],
    bornAt: 0,
  };
  const made = new ServerView(server);
  if (hasKeeper) {
    made.applyKeeper({
      holdings: new Map(Object.entries(holdings)),
      running,
      queued: 0,
      freeablePlaces,
      awaited,
      receivedAt: NOW,
    });
  }
  const { pauseMs } = options;
  if (pauseMs !== undefined) {
    for (let count = 0; count < 400; count += 1) made.notePause(pauseMs, NOW);
  }
  return made;
}

const REQUEST: ChoiceRequest = {
  modelName: 'm/a1',
  minVersion: 0,
  batchWidth: 64,
  maxLoadWaitMs: 700,
  now: NOW,
  availabilityZone: 'z1',
};

describe('chooseServer', () => {
  describe('an adapter that some server holds', () => {
    it('is served where it is, not loaded again', () => {
      const choice = chooseServer(REQUEST, [view('a'), view('b', { holdings: { 'm/a1': 1 } })]);
      expect(choice).to.include({ kind: 'send' });
      expect(choice.kind === 'send' && choice.view.server.id).to.equal('b');
    });

    it('is served by the holder with the shorter pauses when demand is high', () => {
      const slow = view('slow', { holdings: { 'm/a1': 1 }, running: 10, pauseMs: 250 });
      const calm = view('calm', { holdings: { 'm/a1': 1 }, running: 20, pauseMs: 40 });
      const choice = chooseServer(REQUEST, [slow, calm]);
      expect(choice.kind === 'send' && choice.view.server.id).to.equal('calm');
    });

    it('gets another copy when its only holder is far busier than the others', () => {
      const busy = view('busy', { holdings: { 'm/a1': 1 }, running: 50, pauseMs: 200 });
      const choice = chooseServer(REQUEST, [
        busy,
        view('b', { running: 5 }),
        view('c', { running: 5 }),
      ]);
      expect(choice.kind === 'send' && choice.replicateAt).to.not.equal(undefined);
    });

    it('gets another copy sooner when it is asked for often', () => {
      const others = [view('b', { pauseMs: 35 }), view('c', { pauseMs: 35 })];
      const holder = view('a', { holdings: { 'm/a1': 1 }, running: 8, pauseMs: 75 });
      const cold = chooseServer(REQUEST, [holder, ...others]);
      expect(cold.kind === 'send' && cold.replicateAt).to.equal(undefined);
      [1, 2, 3].forEach(() => holder.noteSent('m/a1'));
      const hot = chooseServer(REQUEST, [holder, ...others]);
      expect(hot.kind === 'send' && hot.replicateAt).to.not.equal(undefined);
    });

    it('gets another copy when its slow holder has as much to do as the fast ones', () => {
      const slow = view('slow', { holdings: { 'm/a1': 1 }, running: 30, pauseMs: 48 });
      const others = ['b', 'c', 'd'].map((id) => view(id, { running: 30, pauseMs: 22 }));
      const choice = chooseServer({ ...REQUEST, batchWidth: 40 }, [slow, ...others]);
      expect(choice.kind === 'send' && choice.replicateAt).to.not.equal(undefined);
    });

    it('gets no further copy while its holder keeps up', () => {
      const holder = view('a', { holdings: { 'm/a1': 1 }, running: 12 });
      const choice = chooseServer(REQUEST, [holder, view('b', { running: 5 })]);
      expect(choice.kind === 'send' && choice.replicateAt).to.equal(undefined);
    });

    it('is not served by an older version than the one declared', () => {
      const request = { ...REQUEST, minVersion: 3 };
      const choice = chooseServer(request, [view('a', { holdings: { 'm/a1': 2 } })]);
      expect(choice.kind).to.equal('load');
    });
  });

  describe('a long prompt', () => {
    const long = { ...REQUEST, promptTokens: 7400 };

    it('is read where it stops the fewest streams, even if the adapter is loaded first', () => {
      const busy = view('busy', { holdings: { 'm/a1': 1 }, running: 50, pauseMs: 30 });
      const calm = view('calm', { running: 10, pauseMs: 30 });
      const choice = chooseServer(long, [busy, calm]);
      expect(choice.kind === 'load' && choice.view).to.equal(calm);
      expect(chooseServer(REQUEST, [busy, calm]).kind).to.equal('send');
    });

    it('is not read by a slow server whose streams it would stop for twice as long', () => {
      const slow = view('slow', { holdings: { 'm/a1': 1 }, running: 14, pauseMs: 60 });
      const fast = view('fast', { holdings: { 'm/a1': 1 }, running: 18, pauseMs: 25 });
      const choice = chooseServer(long, [slow, fast]);
      expect(choice.kind === 'send' && choice.view).to.equal(fast);
    });

    it('goes to the holder when no other server does much better or has a place', () => {
      const holder = view('a', { holdings: { 'm/a1': 1 }, running: 14, pauseMs: 30 });
      const like = view('b', { running: 10, pauseMs: 30 });
      const full = view('c', { running: 0, freeablePlaces: 0 });
      const choice = chooseServer(long, [holder, like, full]);
      expect(choice.kind === 'send' && choice.view).to.equal(holder);
    });
  });

  describe('an adapter that no server holds', () => {
    it('goes to the server that held it last, whose load is quick', () => {
      const views = ['a', 'b', 'c', 'd'].map((id) => view(id));
      views.forEach((each) => {
        const state = { running: 0, queued: 0, freeablePlaces: 4, awaited: 0, receivedAt: NOW };
        if (each.server.id === 'c') {
          each.applyKeeper({ ...state, holdings: new Map([['m/a1', 1]]) });
        }
        each.applyKeeper({ ...state, holdings: new Map() });
      });
      const choice = chooseServer(REQUEST, views);
      expect(choice.kind === 'load' && choice.view.server.id).to.equal('c');
    });

    it('goes to slow servers seldom, since their streams stop for every prompt they read', () => {
      const views = ['a', 'b', 'slow'].map((id) =>
        view(id, { pauseMs: id === 'slow' ? 90 : 35, awaited: 0 }),
      );
      views.forEach((each) => each.notePause(each.usualPauseMs, NOW - 60_000));
      const homes = Array.from({ length: 600 }, (_, index) => {
        const request = { ...REQUEST, modelName: `m/a${index}`, now: NOW + 60_000 };
        const choice = chooseServer(request, views);
        return choice.kind === 'load' ? choice.view.server.id : 'none';
      });
      const share = homes.filter((id) => id === 'slow').length / homes.length;
      expect(share).to.be.within(0.02, 0.25);
    });

    it('goes to the same server from every entry', () => {
      const ids = ['a', 'b', 'c', 'd'];
      const first = chooseServer(
        REQUEST,
        ids.map((id) => view(id)),
      );
      const second = chooseServer(
        REQUEST,
        ids.reverse().map((id) => view(id)),
      );
      expect(first.kind === 'load' && first.view.server.id).to.equal(
        second.kind === 'load' && second.view.server.id,
      );
    });

    it('passes over servers without a place, with many loads waiting, or without a keeper', () => {
      const choice = chooseServer(REQUEST, [
        view('full', { freeablePlaces: 0 }),
        view('queue', { awaited: 12 }),
        view('silent', { hasKeeper: false }),
        view('fit'),
      ]);
      expect(choice.kind === 'load' && choice.view.server.id).to.equal('fit');
    });

    it('is refused at once, with a time to come back, when rare adapters fill all places', () => {
      const choice = chooseServer(REQUEST, [view('a', { freeablePlaces: 0 })]);
      expect(choice).to.include({ kind: 'refuse', reason: 'no-place' });
      expect(choice.kind === 'refuse' && choice.retryAfterMs).to.be.greaterThan(0);
    });
  });

  describe('servers that may not be used', () => {
    it('gets nothing once it drains', () => {
      const draining = view('a', { holdings: { 'm/a1': 1 }, state: 'draining' });
      expect(chooseServer(REQUEST, [draining])).to.include({ kind: 'refuse', reason: 'no-server' });
    });

    it('gets nothing while it has more than it can begin', () => {
      const full = view('a', { holdings: { 'm/a1': 1 }, running: 90 });
      expect(chooseServer(REQUEST, [full])).to.include({ kind: 'refuse', reason: 'servers-full' });
    });
  });

  describe('a request for a plain service', () => {
    it('goes to the nearest of servers with equal work, else to the one with less', () => {
      const plain = { minVersion: 0, batchWidth: 1, maxLoadWaitMs: 0, now: NOW };
      const request = { ...plain, availabilityZone: 'z2' };
      const near = view('near', { availabilityZone: 'z2', hasKeeper: false });
      const far = view('far', { hasKeeper: false });
      const calm = chooseServer(request, [far, near]);
      expect(calm.kind === 'send' && calm.view).to.equal(near);
      near.noteSent(undefined);
      const busy = chooseServer(request, [far, near]);
      expect(busy.kind === 'send' && busy.view).to.equal(far);
    });
  });
});

describe('ServerView', () => {
  it('counts what other entries sent as last told, and its own requests as of now', () => {
    const made = view('a', { running: 7 });
    made.noteSent('m/a1');
    made.noteSent('m/a1');
    expect(made.load).to.equal(9);
    made.applyKeeper({ ...made.keeper!, running: 9 });
    expect(made.load).to.equal(9);
    made.noteEnded('m/a1');
    expect(made.load).to.equal(8);
  });

  it('tells when the first use of an adapter begins and the last one ends', () => {
    const made = view('a');
    expect(made.noteSent('m/a1')).to.equal(true);
    expect(made.noteSent('m/a1')).to.equal(false);
    expect(made.noteEnded('m/a1')).to.equal(false);
    expect(made.noteEnded('m/a1')).to.equal(true);
  });

  it('believes a server that says that it lacks an adapter, until its keeper says otherwise', () => {
    const made = view('a', { holdings: { 'm/a1': 1 } });
    made.noteLacking('m/a1', NOW + 1);
    expect(made.versionOf('m/a1')).to.equal(undefined);
    made.applyKeeper({ ...made.keeper!, receivedAt: NOW + 2 });
    expect(made.versionOf('m/a1')).to.equal(1);
  });

  it('knows a slow server by its first streams', () => {
    const slow = view('slow');
    const fast = view('fast');
    for (let count = 0; count < 60; count += 1) {
      slow.notePause(90, NOW);
      fast.notePause(30, NOW);
    }
    expect(slow.usualPauseMs / fast.usualPauseMs).to.be.greaterThan(2);
  });

  it('is taken to be as fast as the server before it at its address', () => {
    const before = view('a', { pauseMs: 100 });
    expect(new ServerView(before.server, before).usualPauseMs).to.equal(before.usualPauseMs);
  });

  it('forgets long pauses of a server that has made none for a while', () => {
    const made = view('a', { pauseMs: 400 });
    expect(made.pauseMs(NOW)).to.be.greaterThan(300);
    expect(made.pauseMs(NOW + 20_000)).to.be.lessThan(40);
  });
});
