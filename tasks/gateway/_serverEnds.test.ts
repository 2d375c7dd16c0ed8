import { expect } from 'chai';
import { createVirtualClock } from '../../core/clock/mod.ts';
import type { Milliseconds, VirtualClock } from '../../core/clock/mod.ts';
import type { BackendServer } from '../../core/serving/mod.ts';
import type { ProbeResult } from '../../proxy/mod.ts';
import { ServerEnds } from './_serverEnds.ts';
import type { LostRequest, ServerConnections } from './_serverEnds.ts';

const SERVER: BackendServer = {
  id: 'a',
  service: 's',
  address: '10.0.0.1:80',
  availabilityZone: 'z',
  softwareVersion: 'v1',
  slots: 4,
  state: 'ready',
  holdings: [],
  bornAt: 0,
};

function lost(requestId: string): LostRequest {
  return {
    requestId,
    route: 'r',
    adapter: undefined,
    promptParts: [],
    traits: [],
    requestTrait: `request:${requestId}`,
    sentMs: 10,
    writingMs: 5,
  };
}

describe('ServerEnds', () => {
  let clock: VirtualClock;
  let ends: ServerEnds;
  let hasOpen: boolean;
  let probeResult: ProbeResult;
  let connections: ServerConnections;
  let endedRequests: (readonly string[])[];
  let verdicts: Map<string, boolean>;

  function runUntil(time: Milliseconds): void {
    while ((clock.nextDue() ?? Infinity) <= time) clock.runNext();
    clock.advanceTo(time);
  }

  function noteEnd(requestId: string, isLost = false): void {
    ends.noteConnectionEnd({
      server: SERVER,
      connections,
      lost: isLost ? lost(requestId) : undefined,
      onJudged: (hasEnded) => verdicts.set(requestId, hasEnded),
    });
  }

  beforeEach(() => {
    clock = createVirtualClock();
    hasOpen = false;
    probeResult = 'refuses';
    endedRequests = [];
    verdicts = new Map();
    connections = {
      hasOpenSince: () => hasOpen,
      probe: (onResult) => {
        clock.schedule(5, () => onResult(probeResult));
      },
    };
    ends = new ServerEnds({
      clock,
      onEnd: ({ requests }) => endedRequests.push(requests.map(({ requestId }) => requestId)),
    });
  });

  it('judges that a server goes on while an older connection to it is open', () => {
    hasOpen = true;
    noteEnd('r1');
    runUntil(40);
    expect([...verdicts]).to.deep.equal([['r1', false]]);
    expect(endedRequests).to.deep.equal([]);
  });

  it('judges that a server goes on that accepts a new connection', () => {
    probeResult = 'accepts';
    noteEnd('r1');
    runUntil(40);
    expect([...verdicts]).to.deep.equal([['r1', false]]);
    expect(endedRequests).to.deep.equal([]);
  });

  it('reports the end of a server once, with the requests that were lost', () => {
    noteEnd('r1', true);
    runUntil(20);
    noteEnd('r2', true);
    noteEnd('r3');
    runUntil(90);
    expect([...verdicts]).to.deep.equal([
      ['r1', true],
      ['r2', true],
      ['r3', true],
    ]);
    expect(endedRequests).to.deep.equal([['r1', 'r2']]);
  });

  // Guards against a response that was judged by the settling time of an earlier one.
  it('judges a response that ends shortly before the others of its server by its own time', () => {
    hasOpen = true;
    noteEnd('r1');
    runUntil(29);
    noteEnd('r2');
    runUntil(30);
    hasOpen = false;
    runUntil(90);
    expect([...verdicts]).to.deep.equal([
      ['r1', false],
      ['r2', true],
    ]);
  });

  // Guards against a probe whose result was taken for a response that ended just before its server.
  it('judges a response that ends while the server is probed by a probe of its own', () => {
    probeResult = 'accepts';
    noteEnd('r1');
    runUntil(32);
    noteEnd('r2');
    runUntil(36);
    probeResult = 'refuses';
    runUntil(90);
    expect([...verdicts]).to.deep.equal([
      ['r1', false],
      ['r2', true],
    ]);
  });

  it('takes a server that does not answer for ended only if it lost requests', () => {
    probeResult = 'unknown';
    noteEnd('r1');
    noteEnd('r2', true);
    runUntil(90);
    expect([...verdicts]).to.deep.equal([
      ['r1', false],
      ['r2', true],
    ]);
    expect(endedRequests).to.deep.equal([['r2']]);
  });
});
