import { expect } from 'chai';
import type { BackendServer } from '../../core/serving/mod.ts';
import type { OpenRequest } from './_openRequest.ts';
import { StreamVersions } from './_streamVersions.ts';
import { FakeNetwork } from './testing/fakeNetwork.ts';
import { listenForOrigins } from './testing/listenForOrigins.ts';

const SERVICE = 'llm';

/** Time after which a process has watched for long enough to know all versions. */
const HISTORY_MS = 60_000;

function takenUp(resumes: string | undefined): OpenRequest {
  return {
    head: { requestId: 'again', resumes, lastEventId: '2' },
    service: { name: SERVICE },
    route: { isStream: true, repeatability: 'resumable' },
    isFinished: false,
  } as unknown as OpenRequest;
}

function serverOf(softwareVersion: string): BackendServer {
  return { service: SERVICE, softwareVersion } as BackendServer;
}

describe('StreamVersions', () => {
  let network: FakeNetwork;
  let names: string[];
  let outcomes: string[];
  let recordsAgeMs: number;

  beforeEach(() => {
    network = new FakeNetwork();
    names = [];
    outcomes = [];
    recordsAgeMs = 0;
  });

  /** Starts an entry that sees servers of some versions. */
  function start(name: string, versions: readonly string[]): StreamVersions {
    const entry: StreamVersions = new StreamVersions({
      clock: network.clock,
      dial: network.dialFrom(name),
      log: () => undefined,
      metrics: { count: () => undefined } as never,
      self: name,
      incarnation: name,
      peers: () => names.filter((each) => each !== name),
      keepers: () => ({ all: () => [], isOpen: () => false, send: () => undefined }),
      recordsAgeMs: () => recordsAgeMs,
      dispatch: ({ streamVersion }) => outcomes.push(`goes on at ${streamVersion}`),
      refuse: () => outcomes.push('refused'),
    });
    names.push(name);
    listenForOrigins(network, name, entry.origins);
    entry.origins.start();
    versions.forEach((version) => entry.noteServer(serverOf(version)));
    return entry;
  }

  function takeUp(entry: StreamVersions, resumes: string | undefined = 'unknown'): string {
    const request = takenUp(resumes);
    if (entry.isKnown(request)) return `goes on at ${request.streamVersion}`;
    network.run(1600);
    return outcomes.pop() ?? 'held';
  }

  describe('when nobody knows where a stream began', () => {
    it('refuses it while all entries are young, though they see one version', () => {
      const entry = start('a', ['v1']);
      start('b', ['v1']);
      expect(takeUp(entry)).to.equal('refused');
    });

    it('lets it go on at the only version that an elder has seen', () => {
      const elder = start('a', []);
      network.run(HISTORY_MS);
      elder.noteServer(serverOf('v1'));
      expect(takeUp(start('b', ['v1']))).to.equal('goes on at v1');
      expect(takeUp(elder, undefined)).to.equal('goes on at v1');
    });

    it('refuses it if the elder has seen another version', () => {
      const elder = start('a', []);
      network.run(HISTORY_MS);
      elder.noteServer(serverOf('v2'));
      expect(takeUp(start('b', ['v1']))).to.equal('refused');
    });

    it('refuses it if another entry has seen another version than the elder', () => {
      const elder = start('a', []);
      network.run(HISTORY_MS);
      elder.noteServer(serverOf('v1'));
      start('b', ['v2']);
      expect(takeUp(elder)).to.equal('refused');
    });

    it('refuses it at an elder that is cut off from the others', () => {
      const elder = start('a', []);
      start('b', []);
      network.run(HISTORY_MS);
      elder.noteServer(serverOf('v1'));
      network.partitioned.add('b');
      expect(takeUp(elder)).to.equal('refused');
    });

    it('refuses it at an elder that knows no others and has not reached the store for some seconds', () => {
      const elder = start('a', []);
      network.run(HISTORY_MS);
      elder.noteServer(serverOf('v1'));
      recordsAgeMs = 3000;
      expect(takeUp(elder)).to.equal('refused');
    });

    it('lets it go on at an elder that knows no others', () => {
      const elder = start('a', []);
      network.run(HISTORY_MS);
      elder.noteServer(serverOf('v1'));
      expect(takeUp(elder)).to.equal('goes on at v1');
    });
  });
});
