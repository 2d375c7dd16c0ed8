import { expect } from 'chai';
import { createVirtualClock } from '../../core/clock/mod.ts';
import type { Milliseconds, VirtualClock } from '../../core/clock/mod.ts';
import type { BackendServer } from '../../core/serving/mod.ts';
import { ServerEnds } from './_serverEnds.ts';
import type { LostRequest } from './_serverEnds.ts';

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
  let isListening: boolean;
  let endedRequests: (readonly string[])[];
  let verdicts: Map<string, boolean>;

  function runUntil(time: Milliseconds): void {
    while ((clock.nextDue() ?? Infinity) <= time) clock.runNext();
    clock.advanceTo(time);
  }

  function noteEnd(requestId: string): void {
    ends.noteConnectionEnd(SERVER, lost(requestId), (hasEnded) => {
      verdicts.set(requestId, hasEnded);
    });
  }

  beforeEach(() => {
    clock = createVirtualClock();
    hasOpen = false;
    isListening = false;
    endedRequests = [];
    verdicts = new Map();
    ends = new ServerEnds({
      clock,
      hasOpenSince: () => hasOpen,
      probe: (_, onResult) => clock.schedule(5, () => onResult(isListening)),
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
    isListening = true;
    noteEnd('r1');
    runUntil(40);
    expect([...verdicts]).to.deep.equal([['r1', false]]);
    expect(endedRequests).to.deep.equal([]);
  });

  it('reports the end of a server once, with all that ended with it', () => {
    noteEnd('r1');
    runUntil(20);
    noteEnd('r2');
    runUntil(90);
    expect([...verdicts]).to.deep.equal([
      ['r1', true],
      ['r2', true],
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
});
