import { expect } from 'chai';
import type { BackendServer } from '../serving/mod.ts';
import { chooseServer, ServerView } from './mod.ts';
import type { LimitedServers, ServerChoiceRequest } from './mod.ts';

type ViewOptions = {
  readonly holdings?: Readonly<Record<string, number>>;
  readonly running?: number;
  readonly freeablePlaces?: number;
  readonly awaited?: number;
  readonly state?: 'ready' | 'draining';
  readonly pauseMs?: number;
  readonly availabilityZone?: string;
  readonly hasKeeperReport?: boolean;
};

const NOW = 10_000;

function view(id: string, options: ViewOptions = {}): ServerView {
  const {
    holdings = {},
    running = 0,
    freeablePlaces = 4,
    awaited = 0,
    hasKeeperReport = true,
  } = options;
  const server: BackendServer = {
    id,
    service: 's',
    address: '10.0.0.1:80',
    availabilityZone: options.availabilityZone ?? 'z1',
    softwareVersion: 'v1',
    slots: 64,
    state: options.state ?? 'ready',
    holdings: [],
    bornAt: 0,
  };
  const serverView = new ServerView(server);
  if (hasKeeperReport) {
    serverView.applyKeeperReport({
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
    for (let count = 0; count < 400; count += 1) serverView.notePause(pauseMs, NOW);
  }
  return serverView;
}

const REQUEST: ServerChoiceRequest = {
  modelName: 'm/a1',
  minVersion: 0,
  batchWidth: 64,
  maxLoadWaitMs: 700,
  now: NOW,
  availabilityZone: 'z1',
};

describe('chooseServer', () => {
  describe('for an adapter that a server holds', () => {
    it('chooses the holder instead of loading another copy', () => {
      const choice = chooseServer(REQUEST, [view('a'), view('b', { holdings: { 'm/a1': 1 } })]);
      expect(choice).to.include({ kind: 'send' });
      expect(choice.kind === 'send' && choice.view.server.id).to.equal('b');
    });

    it('chooses the holder with the shorter pauses, even if it runs more requests', () => {
      const slow = view('slow', { holdings: { 'm/a1': 1 }, running: 10, pauseMs: 250 });
      const calm = view('calm', { holdings: { 'm/a1': 1 }, running: 20, pauseMs: 40 });
      const choice = chooseServer(REQUEST, [slow, calm]);
      expect(choice.kind === 'send' && choice.view.server.id).to.equal('calm');
    });

    it('replicates the adapter when its only holder is far busier than the others', () => {
      const busy = view('busy', { holdings: { 'm/a1': 1 }, running: 50, pauseMs: 200 });
      const choice = chooseServer(REQUEST, [
        busy,
        view('b', { running: 5 }),
        view('c', { running: 5 }),
      ]);
      expect(choice.kind === 'send' && choice.replicaTarget).to.not.equal(undefined);
    });

    it('replicates an adapter with several requests in flight at shorter pauses than others', () => {
      const others = [view('b', { pauseMs: 35 }), view('c', { pauseMs: 35 })];
      const holder = view('a', { holdings: { 'm/a1': 1 }, running: 8, pauseMs: 75 });
      const cold = chooseServer(REQUEST, [holder, ...others]);
      expect(cold.kind === 'send' && cold.replicaTarget).to.equal(undefined);
      [1, 2, 3].forEach(() => holder.noteSent('m/a1'));
      const hot = chooseServer(REQUEST, [holder, ...others]);
      expect(hot.kind === 'send' && hot.replicaTarget).to.not.equal(undefined);
    });

    it('replicates the adapter when its slow holder has as much load as fast servers', () => {
      const slow = view('slow', { holdings: { 'm/a1': 1 }, running: 30, pauseMs: 48 });
      const others = ['b', 'c', 'd'].map((id) => view(id, { running: 30, pauseMs: 22 }));
      const choice = chooseServer({ ...REQUEST, batchWidth: 40 }, [slow, ...others]);
      expect(choice.kind === 'send' && choice.replicaTarget).to.not.equal(undefined);
    });

    it('does not replicate the adapter while its holder keeps up', () => {
      const holder = view('a', { holdings: { 'm/a1': 1 }, running: 12 });
      const choice = chooseServer(REQUEST, [holder, view('b', { running: 5 })]);
      expect(choice.kind === 'send' && choice.replicaTarget).to.equal(undefined);
    });

    it('does not choose a holder of an older version than required', () => {
      const request = { ...REQUEST, minVersion: 3 };
      const choice = chooseServer(request, [view('a', { holdings: { 'm/a1': 2 } })]);
      expect(choice.kind).to.equal('load');
    });
  });

  describe('for a long prompt', () => {
    const long = { ...REQUEST, promptTokens: 7400 };

    it('chooses the server where prefill stalls the fewest streams, even if the adapter must be loaded', () => {
      const busy = view('busy', { holdings: { 'm/a1': 1 }, running: 50, pauseMs: 30 });
      const calm = view('calm', { running: 10, pauseMs: 30 });
      const choice = chooseServer(long, [busy, calm]);
      expect(choice.kind === 'load' && choice.view).to.equal(calm);
      expect(chooseServer(REQUEST, [busy, calm]).kind).to.equal('send');
    });

    it('avoids a slow server whose streams would stall for twice as long', () => {
      const slow = view('slow', { holdings: { 'm/a1': 1 }, running: 14, pauseMs: 60 });
      const fast = view('fast', { holdings: { 'm/a1': 1 }, running: 18, pauseMs: 25 });
      const choice = chooseServer(long, [slow, fast]);
      expect(choice.kind === 'send' && choice.view).to.equal(fast);
    });

    it('chooses the holder when other servers are not much better or have no free adapter slot', () => {
      const holder = view('a', { holdings: { 'm/a1': 1 }, running: 14, pauseMs: 30 });
      const similar = view('b', { running: 10, pauseMs: 30 });
      const full = view('c', { running: 0, freeablePlaces: 0 });
      const choice = chooseServer(long, [holder, similar, full]);
      expect(choice.kind === 'send' && choice.view).to.equal(holder);
    });
  });

  describe('for an adapter that no server holds', () => {
    it('chooses the server that held it recently, since it loads quickly', () => {
      const views = ['a', 'b', 'c', 'd'].map((id) => view(id));
      views.forEach((each) => {
        const state = { running: 0, queued: 0, freeablePlaces: 4, awaited: 0, receivedAt: NOW };
        if (each.server.id === 'c') {
          each.applyKeeperReport({ ...state, holdings: new Map([['m/a1', 1]]) });
        }
        each.applyKeeperReport({ ...state, holdings: new Map() });
      });
      const choice = chooseServer(REQUEST, views);
      expect(choice.kind === 'load' && choice.view.server.id).to.equal('c');
    });

    it('rarely chooses slow servers, since each prefill stalls their streams for longer', () => {
      const views = ['a', 'b', 'slow'].map((id) =>
        view(id, { pauseMs: id === 'slow' ? 90 : 35, awaited: 0 }),
      );
      views.forEach((each) => each.notePause(each.usualPauseMs, NOW - 60_000));
      const serverIds = Array.from({ length: 600 }, (_, index) => {
        const request = { ...REQUEST, modelName: `m/a${index}`, now: NOW + 60_000 };
        const choice = chooseServer(request, views);
        return choice.kind === 'load' ? choice.view.server.id : 'none';
      });
      const share = serverIds.filter((id) => id === 'slow').length / serverIds.length;
      expect(share).to.be.within(0.02, 0.25);
    });

    it('chooses the same server whatever the order of the servers', () => {
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

    it('skips servers without a free adapter slot, with many pending loads or without a keeper report', () => {
      const choice = chooseServer(REQUEST, [
        view('full', { freeablePlaces: 0 }),
        view('queue', { awaited: 12 }),
        view('silent', { hasKeeperReport: false }),
        view('fit'),
      ]);
      expect(choice.kind === 'load' && choice.view.server.id).to.equal('fit');
    });

    it('refuses the request with a retry delay when no adapter slot can be freed', () => {
      const choice = chooseServer(REQUEST, [view('a', { freeablePlaces: 0 })]);
      expect(choice).to.include({ kind: 'refuse', reason: 'no-place' });
      expect(choice.kind === 'refuse' && choice.retryAfterMs).to.be.greaterThan(0);
    });
  });

  describe('for servers that are unavailable', () => {
    it('refuses the request when the only server is draining', () => {
      const draining = view('a', { holdings: { 'm/a1': 1 }, state: 'draining' });
      expect(chooseServer(REQUEST, [draining])).to.include({ kind: 'refuse', reason: 'no-server' });
    });

    it('refuses the request when the only server is full', () => {
      const full = view('a', { holdings: { 'm/a1': 1 }, running: 90 });
      expect(chooseServer(REQUEST, [full])).to.include({ kind: 'refuse', reason: 'servers-full' });
    });
  });

  describe('for servers that name a limit', () => {
    function limited(
      named: readonly string[],
      permitted: readonly string[] = [],
      unconfirmed: readonly string[] = [],
      imminent: readonly string[] = [],
    ): LimitedServers {
      return {
        named: new Set(named),
        permitted: new Set(permitted),
        unconfirmed: new Set(unconfirmed),
        imminent: new Set(imminent),
      };
    }

    const held = { holdings: { 'm/a1': 1 } };

    it('passes over a holder without a permit', () => {
      const choice = chooseServer({ ...REQUEST, limited: limited(['a']) }, [
        view('a', held),
        view('b', { ...held, running: 30 }),
      ]);
      expect(choice.kind === 'send' && choice.view.server.id).to.equal('b');
    });

    it('chooses a holder with a permit like any other', () => {
      const choice = chooseServer({ ...REQUEST, limited: limited(['a'], ['a']) }, [
        view('a', held),
        view('b', { ...held, running: 30 }),
      ]);
      expect(choice.kind === 'send' && choice.view.server.id).to.equal('a');
    });

    it('loads the adapter on a server without a limit rather than wait for its only holder', () => {
      const choice = chooseServer({ ...REQUEST, limited: limited(['a', 'b'], ['b']) }, [
        view('a', held),
        view('b'),
        view('c', { running: 20 }),
      ]);
      expect(choice.kind === 'load' && choice.view.server.id).to.equal('c');
    });

    it('waits for the only holder if no server without a limit can load the adapter in time', () => {
      const holder = view('a', held);
      const choice = chooseServer({ ...REQUEST, limited: limited(['a']) }, [
        holder,
        view('full', { freeablePlaces: 0 }),
      ]);
      expect(choice).to.deep.equal({ kind: 'await-permit', views: [holder], isBrief: false });
    });

    it('waits for the holders if all servers name a limit, and loads what none holds', () => {
      const servers = [view('a', held), view('b'), view('c')];
      const request = { ...REQUEST, limited: limited(['a', 'b', 'c']) };
      expect(chooseServer(request, servers)).to.deep.equal({
        kind: 'await-permit',
        views: [servers[0]],
        isBrief: false,
      });
      expect(chooseServer({ ...request, modelName: 'm/a2' }, servers).kind).to.equal('load');
    });

    it('asks a server again that has not named its limit for some time, within the limit', () => {
      const busy = view('a', { ...held, running: 30 });
      const request = { ...REQUEST, limited: limited(['a'], ['a'], ['a']) };
      expect(chooseServer(request, [busy, view('b', held)])).to.include({ view: busy });
      const { modelName, ...plain } = request;
      expect(modelName).to.equal('m/a1');
      expect(chooseServer(plain, [busy, view('b')])).to.include({ view: busy });
    });

    it('waits a moment for a holder whose permit may come at any moment before it loads', () => {
      const holder = view('a', held);
      const request = { ...REQUEST, limited: limited(['a'], [], [], ['a']) };
      expect(chooseServer(request, [holder, view('b')])).to.deep.equal({
        kind: 'await-permit',
        views: [holder],
        isBrief: true,
      });
    });

    it('loads an adapter that no server holds on one with a limit if no other can in time', () => {
      const request = { ...REQUEST, limited: limited(['a']) };
      const full = view('full', { freeablePlaces: 0 });
      const choice = chooseServer(request, [view('a'), full]);
      expect(choice.kind === 'load' && choice.view.server.id).to.equal('a');
    });

    it('loads no further copy on a server with a limit', () => {
      const busy = view('busy', { ...held, running: 50, pauseMs: 200 });
      const choice = chooseServer({ ...REQUEST, limited: limited(['b'], ['b']) }, [
        busy,
        view('b', { running: 5 }),
      ]);
      expect(choice.kind === 'send' && choice.replicaTarget).to.equal(undefined);
    });

    it('waits for any of the servers of a service without models', () => {
      const { modelName, ...plain } = REQUEST;
      expect(modelName).to.equal('m/a1');
      const servers = [view('a'), view('b')];
      const request = { ...plain, limited: limited(['a', 'b']) };
      expect(chooseServer(request, servers)).to.deep.equal({
        kind: 'await-permit',
        views: servers,
        isBrief: false,
      });
      const permitted = { ...plain, limited: limited(['a', 'b'], ['b']) };
      expect(chooseServer(permitted, servers)).to.include({ kind: 'send', view: servers[1] });
    });
  });

  describe('for a service without models', () => {
    it('chooses a server in the same zone at equal load, otherwise the one with less load', () => {
      const plain = { minVersion: 0, batchWidth: 1, maxLoadWaitMs: 0, now: NOW };
      const request = { ...plain, availabilityZone: 'z2' };
      const near = view('near', { availabilityZone: 'z2', hasKeeperReport: false });
      const far = view('far', { hasKeeperReport: false });
      const calm = chooseServer(request, [far, near]);
      expect(calm.kind === 'send' && calm.view).to.equal(near);
      near.noteSent(undefined);
      const busy = chooseServer(request, [far, near]);
      expect(busy.kind === 'send' && busy.view).to.equal(far);
    });
  });
});

describe('ServerView', () => {
  it('adds the reported requests of other entries to the current ones of its own entry', () => {
    const serverView = view('a', { running: 7 });
    serverView.noteSent('m/a1');
    serverView.noteSent('m/a1');
    expect(serverView.load).to.equal(9);
    serverView.applyKeeperReport({ ...serverView.keeper!, running: 9 });
    expect(serverView.load).to.equal(9);
    serverView.noteEnded('m/a1');
    expect(serverView.load).to.equal(8);
  });

  it('reports when the first request for an adapter starts and the last one ends', () => {
    const serverView = view('a');
    expect(serverView.noteSent('m/a1')).to.equal(true);
    expect(serverView.noteSent('m/a1')).to.equal(false);
    expect(serverView.noteEnded('m/a1')).to.equal(false);
    expect(serverView.noteEnded('m/a1')).to.equal(true);
  });

  it('treats an adapter that the server rejected as missing until the next keeper report', () => {
    const serverView = view('a', { holdings: { 'm/a1': 1 } });
    serverView.noteMissing('m/a1', NOW + 1);
    expect(serverView.versionOf('m/a1')).to.equal(undefined);
    serverView.applyKeeperReport({ ...serverView.keeper!, receivedAt: NOW + 2 });
    expect(serverView.versionOf('m/a1')).to.equal(1);
  });

  it('recognises a slow server by its first streams', () => {
    const slow = view('slow');
    const fast = view('fast');
    for (let count = 0; count < 60; count += 1) {
      slow.notePause(90, NOW);
      fast.notePause(30, NOW);
    }
    expect(slow.usualPauseMs / fast.usualPauseMs).to.be.greaterThan(2);
  });

  it('inherits the usual pause of the previous server at its address', () => {
    const before = view('a', { pauseMs: 100 });
    expect(new ServerView(before.server, before).usualPauseMs).to.equal(before.usualPauseMs);
  });

  it('returns to the default pause when a server has had no pauses for a while', () => {
    const serverView = view('a', { pauseMs: 400 });
    expect(serverView.pauseMs(NOW)).to.be.greaterThan(300);
    expect(serverView.pauseMs(NOW + 20_000)).to.be.lessThan(40);
  });
});
