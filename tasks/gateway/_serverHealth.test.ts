import { expect } from 'chai';
import { createVirtualClock } from '../../core/clock/mod.ts';
import { ServerView } from '../../core/dispatch/mod.ts';
import { ServerHealth } from './_serverHealth.ts';

function createView(id: string): ServerView {
  return new ServerView({
    id,
    service: 's',
    address: '10.0.0.1:80',
    availabilityZone: 'z',
    softwareVersion: 'v1',
    slots: 4,
    state: 'ready',
    holdings: [],
    bornAt: 0,
  });
}

describe('ServerHealth', () => {
  const views = [createView('a'), createView('b')];

  it('passes over a server that refuses connections, for longer while it does', () => {
    const clock = createVirtualClock();
    const health = new ServerHealth(clock);
    const idsAfter = (ms: number): readonly string[] => {
      clock.advanceTo(clock.now() + ms);
      return health.preferHealthy(views).map(({ server }) => server.id);
    };
    health.noteUnreachable('a');
    health.noteUnreachable('a');
    expect(idsAfter(249)).to.deep.equal(['b']);
    expect(idsAfter(1)).to.deep.equal(['a', 'b']);
    health.noteUnreachable('a');
    expect(idsAfter(499)).to.deep.equal(['b']);
    expect(idsAfter(1)).to.deep.equal(['a', 'b']);
    health.noteUnreachable('a');
    health.noteResponse('a');
    expect(idsAfter(0)).to.deep.equal(['a', 'b']);
  });

  it('tries unreachable servers when there are no others', () => {
    const health = new ServerHealth(createVirtualClock());
    views.forEach(({ server }) => health.noteUnreachable(server.id));
    expect(health.preferHealthy(views)).to.have.length(2);
  });
});
