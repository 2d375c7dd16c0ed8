import { expect } from 'chai';
import { encodeMessage } from '../keeper/mod.ts';
import type { KeeperMessage } from '../keeper/mod.ts';
import { KeeperLinks } from './keeperLinks.ts';
import { FakeNetwork } from './testing/fakeNetwork.ts';

const STATE: KeeperMessage = {
  kind: 'state',
  holdings: [],
  running: 0,
  queued: 0,
  freeablePlaces: 1,
  awaited: 0,
  fencingToken: 1,
};

describe('KeeperLinks', () => {
  /** Links to a keeper that answers the first message of each link and is silent then; returns the events. */
  function linkTo(answer: KeeperMessage): readonly string[] {
    const network = new FakeNetwork();
    const events: string[] = [];
    network.listen('k', (connection) => ({
      opened: () => undefined,
      received: () => connection.send(encodeMessage(answer)),
      closed: () => undefined,
    }));
    const links = new KeeperLinks({
      clock: network.clock,
      dial: network.dialFrom('e'),
      log: (event) => events.push(event),
      onReport: (_address, report) => events.push(report === undefined ? 'no report' : 'report'),
      onOpen: () => undefined,
      onOriginAnswer: () => undefined,
      onFacts: () => events.push('facts'),
    });
    const engine = {
      batchWidth: 8,
      adapterPlaces: 3,
      weightsMb: 1,
      loadsPerSecond: 1,
      models: [],
    };
    links.open('k', { entry: 'e', engine, serverId: 'i-1', bornAt: 1 });
    for (let tick = 0; tick < 20; tick += 1) {
      network.run(100);
      links.tick();
    }
    return events;
  }

  it('reports the loss of a keeper that has reported', () => {
    const events = linkTo(STATE);
    expect(events.slice(0, 4)).to.deep.equal(['keeperReady', 'report', 'keeperLost', 'no report']);
  });

  it('reports no loss of a keeper that sends only what it keeps', () => {
    expect(new Set(linkTo({ kind: 'facts', facts: {} }))).to.deep.equal(new Set(['facts']));
  });
});
