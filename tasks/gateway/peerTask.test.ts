import { expect } from 'chai';
import { Quarantine, REQUEST_POLICY, SHARED_TRAIT_POLICY } from '../../core/quarantine/mod.ts';
import { RecordMirror } from '../../core/mirror/mod.ts';
import { LimitRegistry } from '../../core/serverLimits/mod.ts';
import { NoticeRegistry } from '../../core/serverNotices/mod.ts';
import { encodeMessagePack } from '../_decodeChecked.ts';
import { PeerTask } from './mod.ts';
import { FakeNetwork } from './testing/fakeNetwork.ts';

type Node = {
  readonly task: PeerTask;
  readonly mirror: RecordMirror;
  readonly limits: LimitRegistry;
  readonly notices: NoticeRegistry;
  readonly quarantine: Quarantine;
  readonly requestQuarantine: Quarantine;
};

function createLimits(): LimitRegistry {
  return new LimitRegistry({ onLimit: () => undefined, onChange: () => undefined });
}

function createNotices(): NoticeRegistry {
  return new NoticeRegistry({
    onLeaving: () => undefined,
    onPause: () => undefined,
    onChange: () => undefined,
  });
}

const NO_SERVICES = {
  leases: { handleRequest: () => undefined },
  permits: { handleRequest: (): void => undefined },
  origins: { handleMessage: (): void => undefined },
};

function createQuarantine(self: string, policy = SHARED_TRAIT_POLICY): Quarantine {
  return new Quarantine({
    self,
    incarnation: self,
    peers: () => [],
    policy,
    onQuarantined: () => undefined,
    onReleased: () => undefined,
    onChange: () => undefined,
  });
}

function startNode(
  network: FakeNetwork,
  address: string,
  seeds: readonly string[],
  dial = network.dialFrom(address),
): Node {
  const mirror = new RecordMirror();
  const quarantine = createQuarantine(address);
  const requestQuarantine = createQuarantine(address, REQUEST_POLICY);
  const limits = createLimits();
  const notices = createNotices();
  const task = new PeerTask({
    address,
    seeds,
    mirrors: new Map([['op/', mirror]]),
    clock: network.clock,
    dial,
    lagMs: () => address.length,
    cpuShare: address === 'a' ? 0.184 : 0.675,
    shared: { quarantine, requests: requestQuarantine, limits, notices },
    services: NO_SERVICES,
    log: () => undefined,
    onUpdate: (_prefix, update) => mirror.apply(update),
  });
  network.listen(address, task.accept);
  task.start();
  return { task, mirror, limits, notices, quarantine, requestQuarantine };
}

describe('PeerTask', () => {
  const VALUE = new Uint8Array([7]);

  it('lets entries discover each other through one seed', () => {
    const network = new FakeNetwork();
    const names = ['a', 'b', 'c', 'd', 'e', 'f', 'g'];
    const nodes = names.map((name) => startNode(network, name, ['a']));
    network.run(8000);
    nodes.forEach(({ task }) => expect(task.members).to.have.length(6));
  });

  it('tells all entries the capacity of each', () => {
    const network = new FakeNetwork();
    const names = Array.from({ length: 30 }, (_, index) => String.fromCharCode(97 + index));
    const nodes = names.map((name) => startNode(network, name, ['b']));
    network.run(8000);
    nodes.forEach(({ task }) => {
      expect(names.map((name) => task.capacityOf(name))).to.deep.equal([18, ...Array(29).fill(68)]);
    });
  });

  it('spreads the newest records to all entries, and never an older revision', () => {
    const network = new FakeNetwork();
    const nodes = ['a', 'b', 'c', 'd', 'e', 'f'].map((name) =>
      startNode(network, name, ['a', 'b']),
    );
    network.run(5000);
    const records = [{ key: 'op/x', value: VALUE, revision: 5 }];
    nodes[4]!.mirror.apply({ since: undefined, records, asOf: 9 });
    network.run(3000);
    nodes.forEach(({ mirror }) => expect(mirror.asOf).to.equal(9));
    nodes[1]!.mirror.apply({ since: 9, records: [{ key: 'op/x', revision: 12 }], asOf: 12 });
    network.run(3000);
    nodes.forEach(({ mirror }) => {
      expect(mirror.asOf).to.equal(12);
      expect(mirror.records).to.deep.equal([]);
    });
  });

  [1, 3, 10, 100].forEach((count) => {
    it(`tells ${count} entries what servers say of themselves, also across restarts and cuts`, () => {
      const network = new FakeNetwork();
      const names = Array.from({ length: count }, (_, index) => `e${index}`);
      const nodes = names.map((name) => startNode(network, name, ['e0']));
      network.run(6000);
      const now = (): number => network.clock.now();
      const leaving = { id: 'i-1', bornAt: 5 };
      const paused = { id: 'i-2', bornAt: 5 };
      network.partitioned.add('e2');
      nodes[count - 1]!.notices.noteLeaving(leaving, 'answer', now());
      nodes[count - 1]!.notices.notePause(paused, 20_000, now());
      nodes[count - 1]!.task.pushChanges();
      network.run(3000);
      network.partitioned.delete('e2');
      nodes.push(startNode(network, 'late', ['e0']));
      network.run(5000);
      nodes.forEach(({ notices }) => {
        expect(notices.isLeaving(leaving)).to.equal(true);
        expect(notices.pauseLeftMs(paused, now())).to.be.within(11_000, 13_000);
        expect(notices.isLeaving({ ...leaving, bornAt: 6 })).to.equal(false);
      });
    });
  });

  it('receives the records that it missed during a network partition', () => {
    const network = new FakeNetwork();
    const nodes = ['a', 'b', 'c'].map((name) => startNode(network, name, ['a']));
    network.run(4000);
    network.partitioned.add('c');
    nodes[0]!.mirror.apply({ since: undefined, records: [], asOf: 3 });
    network.run(9000);
    expect(nodes[2]!.mirror.asOf).to.equal(undefined);
    network.partitioned.delete('c');
    network.run(4000);
    expect(nodes[2]!.mirror.asOf).to.equal(3);
  });

  it('reports the recent event-loop lags of other entries only', () => {
    const network = new FakeNetwork();
    const nodes = ['a', 'bb', 'ccc'].map((name) => startNode(network, name, ['a']));
    network.run(4000);
    expect([...nodes[0]!.task.lagsMs].sort()).to.deep.equal([2, 3]);
    network.partitioned.add('ccc');
    network.run(4000);
    expect(nodes[0]!.task.lagsMs).to.deep.equal([2]);
  });

  it('spreads the limits of servers to all entries, also to one that starts later', () => {
    const network = new FakeNetwork();
    const nodes = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'].map((name) =>
      startNode(network, name, ['a']),
    );
    network.run(4000);
    nodes[3]!.limits.noteNamed('i-1', 1.5, network.clock.now(), network.clock.now());
    nodes[3]!.task.pushChanges();
    network.run(2000);
    const late = startNode(network, 'i', ['a']);
    network.run(1000);
    [...nodes, late].forEach(({ limits }) => {
      expect(limits.rateOf('i-1', network.clock.now())).to.equal(1.5);
    });
  });

  it('spreads requests that crash servers apart from what such requests share', () => {
    const network = new FakeNetwork();
    const nodes = ['a', 'b', 'c', 'd', 'e'].map((name) => startNode(network, name, ['a']));
    network.run(4000);
    const { requestQuarantine, task } = nodes[1]!;
    [1, 2, 3].forEach((server) => {
      const end = { server: `i-${server}`, service: 's', at: network.clock.now() };
      requestQuarantine.noteEnd({ ...end, traits: ['request:bad'] });
    });
    requestQuarantine.tick(network.clock.now() + 200);
    task.pushChanges();
    network.run(2000);
    nodes.forEach((node) => {
      expect(node.requestQuarantine.quarantined).to.deep.equal(['request:bad']);
      expect(node.quarantine.isEmpty).to.equal(true);
    });
  });

  it('counts the entries in touch, and those that are cut off as known', () => {
    const network = new FakeNetwork();
    const nodes = ['a', 'b', 'c', 'd'].map((name) => startNode(network, name, ['a']));
    network.run(4000);
    expect(nodes[0]!.task.reach).to.deep.equal({ known: 4, reachable: 4 });
    network.partitioned.add('c');
    network.run(6000);
    expect(nodes[0]!.task.reach).to.deep.equal({ known: 4, reachable: 3 });
    expect(nodes[2]!.task.reach).to.deep.equal({ known: 4, reachable: 1 });
  });

  function createIsolatedTask(
    quarantine: Quarantine,
    log: (event: string) => void,
    limits = createLimits(),
  ): (message: unknown) => void {
    const network = new FakeNetwork();
    const task = new PeerTask({
      address: 'a',
      seeds: [],
      mirrors: new Map(),
      clock: network.clock,
      dial: network.dialFrom('a'),
      lagMs: () => 0,
      shared: {
        quarantine,
        requests: createQuarantine('a'),
        limits,
        notices: createNotices(),
      },
      services: NO_SERVICES,
      log,
      onUpdate: () => undefined,
    });
    const remote = task.accept({ send: () => undefined, close: () => undefined });
    return (message) => remote.received(encodeMessagePack(message));
  }

  const DIGEST = { kind: 'digest', address: 'b', lagMs: 0, members: [], asOf: {} };

  const VERDICT = { trait: 'part:x', endCount: 3, trialCount: 0, isDoubtful: false, ageMs: 5 };

  it('reads digests with and without what crashes servers', () => {
    const quarantine = createQuarantine('a');
    const events: string[] = [];
    const receive = createIsolatedTask(quarantine, (event) => events.push(event));
    receive(DIGEST);
    receive({ ...DIGEST, quarantine: { ends: [], clearances: [], verdicts: [VERDICT] } });
    expect(quarantine.quarantined).to.deep.equal(['part:x']);
    expect(events).to.deep.equal([]);
  });

  const malformed: Readonly<Record<string, unknown>> = {
    'an age in the future': { ends: [], clearances: [{ trait: 'x', ageMs: -1 }], verdicts: [] },
    'an age that is no number': {
      ends: [],
      clearances: [{ trait: 'x', ageMs: NaN }],
      verdicts: [],
    },
    'a negative count': { ends: [], clearances: [], verdicts: [{ ...VERDICT, endCount: -1 }] },
    'a long trait': {
      ends: [],
      clearances: [],
      verdicts: [{ ...VERDICT, trait: 'x'.repeat(101) }],
    },
    'a missing list': { ends: [], verdicts: [VERDICT] },
    'another type': 7,
  };

  Object.entries(malformed).forEach(([name, quarantineField]) => {
    it(`logs and ignores a digest whose quarantine has ${name}`, () => {
      const quarantine = createQuarantine('a');
      const events: string[] = [];
      const receive = createIsolatedTask(quarantine, (event) => events.push(event));
      receive({ ...DIGEST, quarantine: quarantineField });
      expect(events).to.deep.equal(['messageUnreadable']);
      expect(quarantine.quarantined).to.deep.equal([]);
      expect(quarantine.change).to.equal(0);
    });
  });

  const LIMIT = { server: 'i-1', perSecond: 2, isEnded: false, ageMs: 5 };

  it('reads digests with the limits of servers', () => {
    const limits = createLimits();
    const events: string[] = [];
    const receive = createIsolatedTask(
      createQuarantine('a'),
      (event) => events.push(event),
      limits,
    );
    receive({ ...DIGEST, limits: [LIMIT] });
    expect(limits.rateOf('i-1', 0)).to.equal(2);
    expect(events).to.deep.equal([]);
  });

  const malformedLimits: Readonly<Record<string, unknown>> = {
    'no rate': [{ ...LIMIT, perSecond: undefined }],
    'a rate of zero': [{ ...LIMIT, perSecond: 0 }],
    'a rate that is no number': [{ ...LIMIT, perSecond: NaN }],
    'an age in the future': [{ ...LIMIT, ageMs: -1 }],
    'another type': 7,
  };

  Object.entries(malformedLimits).forEach(([name, limitsField]) => {
    it(`logs and ignores a digest whose limits have ${name}`, () => {
      const limits = createLimits();
      const events: string[] = [];
      const receive = createIsolatedTask(
        createQuarantine('a'),
        (event) => events.push(event),
        limits,
      );
      receive({ ...DIGEST, limits: limitsField });
      expect(events).to.deep.equal(['messageUnreadable']);
      expect(limits.size).to.equal(0);
    });
  });

  const malformedProofs: Readonly<Record<string, unknown>> = {
    'a negative age': { number: 1, prefixes: { 'op/': { ageMs: -1, asOf: 5 } } },
    'an age that is no number': { number: 1, prefixes: { 'op/': { ageMs: NaN, asOf: 5 } } },
    'no revision': { number: 1, prefixes: { 'op/': { ageMs: 1 } } },
    'no number': { prefixes: {} },
    'another type': 7,
  };

  Object.entries(malformedProofs).forEach(([name, proof]) => {
    it(`logs and ignores a proof of freshness with ${name}`, () => {
      const events: string[] = [];
      const receive = createIsolatedTask(createQuarantine('a'), (event) => events.push(event));
      receive({ kind: 'proof', proof });
      receive({ ...DIGEST, proof });
      expect(events).to.deep.equal(['messageUnreadable', 'messageUnreadable']);
    });
  });

  it('logs and ignores invalid messages', () => {
    const network = new FakeNetwork();
    const events: string[] = [];
    const task = new PeerTask({
      address: 'a',
      seeds: [],
      mirrors: new Map(),
      clock: network.clock,
      dial: network.dialFrom('a'),
      lagMs: () => 0,
      shared: {
        quarantine: createQuarantine('a'),
        requests: createQuarantine('a'),
        limits: createLimits(),
        notices: createNotices(),
      },
      services: NO_SERVICES,
      log: (event) => events.push(event),
      onUpdate: () => undefined,
    });
    const connection = { send: () => undefined, close: () => undefined };
    const remote = task.accept(connection);
    [[0xc1], [], [0x93, 1, 2, 3]].forEach((bytes) => remote.received(new Uint8Array(bytes)));
    expect(events).to.deep.equal(Array(3).fill('messageUnreadable'));
  });

  describe('with a member whose address cannot be dialled', () => {
    // Guards against a digest that ends the gossip of the entry that reads it.
    it('goes on to link to the others and to spread records', () => {
      const network = new FakeNetwork();
      const dialFromA = network.dialFrom('a');
      const a = startNode(network, 'a', ['b'], (address, events) => {
        if (address === 'no address') throw new Error('invalid address');
        return dialFromA(address, events);
      });
      const b = startNode(network, 'b', []);
      const accepted = a.task.accept({ send: () => undefined, close: () => undefined });
      accepted.received(
        encodeMessagePack({
          kind: 'digest',
          address: 'c',
          lagMs: 0,
          members: [['no address', 0]],
          asOf: {},
        }),
      );
      network.run(1500);
      a.mirror.apply({
        since: undefined,
        records: [{ key: 'op/x', value: VALUE, revision: 5 }],
        asOf: 5,
      });
      network.run(1500);
      expect(b.mirror.asOf).to.equal(5);
      expect(a.task.members).to.include('b');
    });
  });
});
