import { expect } from 'chai';
import { LimitRegistry } from '../../core/serverLimits/mod.ts';
import type { PermitAnswer } from '../../core/serverLimits/mod.ts';
import type { LogEventName } from '../../log/mod.ts';
import { encodeMessagePack } from '../_decodeChecked.ts';
import { decodePeerMessage } from './_peerMessages.ts';
import { PermitTask } from './permitTask.ts';
import { FakeNetwork } from './testing/fakeNetwork.ts';

const SERVER = 'i-1';

const DEMAND = { priority: 0, maxWaitMs: 2000 };

type Node = {
  readonly task: PermitTask;
  readonly registry: LimitRegistry;
  readonly answers: PermitAnswer[];
  readonly events: LogEventName[];
};

describe('PermitTask', () => {
  let network: FakeNetwork;

  beforeEach(() => {
    network = new FakeNetwork();
  });

  /** Starts an entry; one of an older build does not understand requests for permits. */
  function startNode(self: string, names: readonly string[], isOlder = false): Node {
    const answers: PermitAnswer[] = [];
    const events: LogEventName[] = [];
    const registry = new LimitRegistry({ onLimit: () => undefined, onChange: () => undefined });
    const task = new PermitTask({
      self,
      peers: () => names.filter((name) => name !== self),
      reach: () => ({ known: names.length, reachable: names.length }),
      registry,
      clock: network.clock,
      dial: network.dialFrom(self),
      log: (event) => events.push(event),
      onAnswer: (answer) => answers.push(answer),
    });
    network.listen(self, (connection) => ({
      opened: () => undefined,
      received: (bytes) => {
        const message = decodePeerMessage(bytes);
        if (message?.kind !== 'permit-request' || isOlder) return;
        task.handleRequest(message, (reply) => connection.send(reply));
      },
      closed: () => undefined,
    }));
    task.start();
    return { task, registry, answers, events };
  }

  function startNodes(names: readonly string[], older: readonly string[] = []): readonly Node[] {
    return names.map((name) => startNode(name, names, older.includes(name)));
  }

  /** Uses each permit at once and requests the next, for some time; returns the permits used. */
  function useFor(nodes: readonly Node[], durationMs: number): readonly number[] {
    const used = nodes.map(() => 0);
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 10) {
      nodes.forEach(({ task }, index) => {
        if (task.take(SERVER)) used[index]! += 1;
        task.request(SERVER, DEMAND);
      });
      network.run(10);
    }
    return used;
  }

  it('shares the limit of a server among all entries that ask, whoever has seen it', () => {
    const nodes = startNodes(['a', 'b', 'c', 'd']);
    nodes[0]!.registry.noteNamed(SERVER, 4, 0, 0);
    nodes.slice(1).forEach(({ registry }) => registry.noteNamed(SERVER, 4, 0, 0));
    const used = useFor(nodes, 14_000);
    expect(used.reduce((sum, count) => sum + count, 0)).to.be.within(36, 54);
    expect(Math.min(...used)).to.be.at.least(8);
  });

  it('lets an issuer that has not heard of the limit learn it from the request', () => {
    const nodes = startNodes(['a', 'b', 'c']);
    nodes.forEach(({ registry, task }) => {
      registry.noteNamed(SERVER, 1, 0, network.clock.now());
      task.request(SERVER, DEMAND);
      network.run(50);
    });
    nodes.forEach(({ registry }) => {
      expect(registry.rateOf(SERVER, network.clock.now())).to.equal(1);
    });
  });

  it('turns to the next entry when an issuer of an older build does not answer', () => {
    const names = ['a', 'b', 'c'];
    names.forEach((older) => {
      const nodes = startNodes(names, [older]);
      nodes.forEach(({ registry }) =>
        registry.noteNamed(SERVER, 4, network.clock.now(), network.clock.now()),
      );
      const used = useFor(nodes, 10_000);
      used.forEach((count) => expect(count).to.be.at.least(1));
    });
  });

  it('issues permits to itself when all others are cut off', () => {
    const nodes = startNodes(['a', 'b', 'c']);
    ['a', 'b', 'c'].forEach((name) => network.partitioned.add(name));
    nodes.forEach(({ registry }) => registry.noteNamed(SERVER, 4, 0, 0));
    useFor(nodes, 4000).forEach((count) => expect(count).to.be.at.least(1));
    expect(nodes.flatMap(({ events }) => events)).to.include('permitIssuerSilent');
  });

  it('denies a permit that would not be free in time, and says when one will be', () => {
    const { task, registry, answers } = startNode('a', ['a']);
    registry.noteNamed(SERVER, 0.2, 0, 0);
    task.request(SERVER, DEMAND);
    expect(task.has(SERVER)).to.equal(false);
    expect(task.waitMs(SERVER)).to.be.within(5000, 15_000);
    expect(answers).to.deep.equal([]);
  });

  it('does not use a permit that has become old', () => {
    const { task, registry } = startNode('a', ['a']);
    registry.noteNamed(SERVER, 10, 0, 0);
    task.request(SERVER, DEMAND);
    network.run(400);
    expect(task.has(SERVER)).to.equal(true);
    network.run(500);
    expect(task.take(SERVER)).to.equal(false);
  });

  const malformed: Readonly<Record<string, unknown>> = {
    'no number': { server: SERVER, priority: 0, maxWaitMs: 5 },
    'a negative wait': { number: 1, server: SERVER, priority: 0, maxWaitMs: -5 },
    'an endless wait': { number: 1, server: SERVER, priority: 0, maxWaitMs: 1e9 },
    'another type': 7,
  };

  Object.entries(malformed).forEach(([name, request]) => {
    it(`does not read a request with ${name}`, () => {
      const message = { kind: 'permit-request', from: 'b', request };
      expect(decodePeerMessage(encodeMessagePack(message))).to.equal(undefined);
    });
  });
});
