import { expect } from 'chai';
import { Fleet, selectRoute, selectService } from './mod.ts';
import type { BackendServer, Deployment, Route } from './mod.ts';

function route(name: string, pathPrefix: string, weights: Readonly<Record<string, number>>): Route {
  return {
    name,
    authority: 'house.example',
    pathPrefix,
    repeatability: 'once',
    isStream: false,
    timeoutMs: 1000,
    objectiveMs: 100,
    priority: 0,
    services: Object.entries(weights).map(([service, weight]) => ({ service, weight })),
    maxAttempts: 1,
  };
}

function server(id: string, state: 'ready' | 'draining' = 'ready'): BackendServer {
  return {
    id,
    service: 's',
    address: '10.0.0.1:80',
    availabilityZone: 'z',
    softwareVersion: 'v1',
    slots: 4,
    state,
    holdings: [],
    bornAt: 0,
  };
}

describe('selectRoute', () => {
  const deployment: Deployment = {
    version: 1,
    routes: [route('wide', '/a/', { s: 1 }), route('narrow', '/a/b/', { s: 1 })],
    services: new Map(),
    callerLimits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
  };

  it('finds the route with the longest prefix, only for the requested authority', () => {
    expect(selectRoute(deployment, 'house.example', '/a/b/c')?.name).to.equal('narrow');
    expect(selectRoute(deployment, 'house.example', '/a/bc')?.name).to.equal('wide');
    expect(selectRoute(deployment, 'other.example', '/a/b/c')).to.equal(undefined);
    expect(selectRoute(deployment, 'house.example', '/b/')).to.equal(undefined);
  });

  it('ignores the query', () => {
    expect(selectRoute(deployment, 'house.example', '/?/a/b/')).to.equal(undefined);
    expect(selectRoute(deployment, 'house.example', '/a/?/b/')?.name).to.equal('wide');
  });
});

describe('selectService', () => {
  it('follows the weights and selects the same service for the same request id', () => {
    const split = route('r', '/a/', { s: 90, t: 10 });
    const names = Array.from({ length: 2000 }, (_, index) => selectService(split, `r${index}`));
    const share = names.filter((name) => name === 't').length / names.length;
    expect(share).to.be.within(0.07, 0.13);
    expect(selectService(split, 'r1')).to.equal(selectService(split, 'r1'));
  });

  it('never selects a service with weight 0', () => {
    const split = route('r', '/a/', { s: 1, t: 0 });
    const names = Array.from({ length: 500 }, (_, index) => selectService(split, `r${index}`));
    expect(names).to.not.include('t');
  });
});

describe('Fleet', () => {
  it('reports servers that are added, start draining and are removed', () => {
    const fleet = new Fleet();
    expect(fleet.put(server('a'))?.kind).to.equal('listed');
    expect(fleet.put(server('a'))).to.equal(undefined);
    expect(fleet.put(server('a', 'draining'))?.kind).to.equal('leaving');
    expect(fleet.remove('a')?.kind).to.equal('left');
    expect(fleet.remove('a')).to.equal(undefined);
  });

  it('keeps a server until the earliest time scheduled for its removal', () => {
    const fleet = new Fleet();
    fleet.put(server('a'));
    fleet.put(server('b'));
    fleet.scheduleRemoval('b', 3000);
    fleet.scheduleRemoval('b', 4500);
    expect(fleet.removeExpired(2999)).to.deep.equal([]);
    expect(fleet.removeExpired(3000).map(({ kind }) => kind)).to.deep.equal(['left']);
    expect([...fleet.servers.keys()]).to.deep.equal(['a']);
  });

  it('cancels the scheduled removal of a server whose record returns in time', () => {
    const fleet = new Fleet();
    fleet.put(server('a'));
    fleet.scheduleRemoval('a', 1000);
    fleet.put(server('a'));
    expect(fleet.removeExpired(9000)).to.deep.equal([]);
  });

  it('removes a server immediately when its record is removed, even if a removal is scheduled', () => {
    const fleet = new Fleet();
    fleet.put(server('a'));
    fleet.scheduleRemoval('a', 1000);
    expect(fleet.remove('a')?.kind).to.equal('left');
    expect(fleet.removeExpired(9000)).to.deep.equal([]);
  });
});
