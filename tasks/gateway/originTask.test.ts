import { expect } from 'chai';
import type { StreamKey, VersionSummary } from '../../core/streamOrigins/mod.ts';
import { OriginTask } from './originTask.ts';
import { FakeNetwork } from './testing/fakeNetwork.ts';
import { listenForOrigins } from './testing/listenForOrigins.ts';

const SERVICE = 'llm';

/** Streams of each simulation. */
const STREAM_COUNT = 60;

type Node = {
  readonly name: string;
  readonly task: OriginTask;
  /** Results of its questions, by request id. */
  readonly results: Map<string, string | undefined>;
  /** What those that did not know an answer have seen of the service. */
  readonly summaries: readonly VersionSummary[];
};

/** Entries that know each other, on a virtual network. */
class Entries {
  readonly network = new FakeNetwork();

  readonly nodes: Node[] = [];

  /** Names of the entries that run. */
  readonly live: string[] = [];

  constructor(count: number) {
    Array.from({ length: count }, (_, index) => this.start(`e${index}`));
  }

  start(
    name: string,
    summary: VersionSummary = { versions: ['v1', 'v2'], isComplete: false },
  ): Node {
    const { network } = this;
    const results = new Map<string, string | undefined>();
    const summaries: VersionSummary[] = [];
    const task = new OriginTask({
      self: name,
      processName: `${name} ${this.nodes.length}`,
      peers: () => this.live.filter((each) => each !== name),
      keepers: () => ({ all: () => [], isOpen: () => false, send: () => undefined }),
      summaryOf: () => summary,
      clock: network.clock,
      dial: network.dialFrom(name),
      log: () => undefined,
      onResult: ({ requestId }, { version, seen }) => {
        results.set(requestId, version);
        summaries.push(...seen);
      },
    });
    listenForOrigins(network, name, task);
    task.start();
    const node = { name, task, results, summaries };
    this.nodes.push(node);
    if (!this.live.includes(name)) this.live.push(name);
    return node;
  }

  /** Ends an entry in the middle of its work; nothing that it has sent since is delivered. */
  kill(node: Node): void {
    this.network.partitioned.add(node.name);
    node.task.close();
    this.nodes.splice(this.nodes.indexOf(node), 1);
  }

  /** Starts an entry again under its name; it knows nothing of before. */
  restart(node: Node): Node {
    this.network.partitioned.delete(node.name);
    return this.start(node.name);
  }
}

/** Returns a stream and the version at which it begins. */
function originOf(number: number): readonly [StreamKey, string] {
  return [{ service: SERVICE, requestId: `r${number}` }, number % 2 === 0 ? 'v1' : 'v2'];
}

/** Asks a node for streams; returns how many it knows, and how many of these wrongly. */
function ask(
  { network }: Entries,
  node: Node,
  numbers: readonly number[],
): { readonly known: number; readonly wrong: number } {
  numbers.forEach((number) => {
    const key = { service: SERVICE, requestId: `r${number}` };
    const version = node.task.versionOf(key);
    if (version === undefined) node.task.lookUp(key);
    else node.results.set(key.requestId, version);
  });
  network.run(1000);
  const versions = numbers.map((number) => ({
    found: node.results.get(`r${number}`),
    right: originOf(number)[1],
  }));
  return {
    known: versions.filter(({ found }) => found !== undefined).length,
    wrong: versions.filter(({ found, right }) => found !== undefined && found !== right).length,
  };
}

describe('OriginTask', () => {
  const numbers = Array.from({ length: STREAM_COUNT }, (_, number) => number);

  [3, 10, 300].forEach((count) => {
    it(`tells any of ${count} entries where a stream began after the end of the one that began it`, () => {
      const entries = new Entries(count);
      const [first, second] = entries.nodes;
      entries.network.run(3000);
      numbers.forEach((number) => {
        first!.task.note(...originOf(number));
        first!.task.flush();
        entries.network.run(20);
      });
      entries.network.run(100);
      entries.kill(first!);
      const asked = ask(entries, second!, numbers);
      expect(asked).to.deep.equal({ known: STREAM_COUNT, wrong: 0 });
      const restarted = entries.restart(first!);
      expect(ask(entries, restarted, numbers)).to.deep.equal({ known: STREAM_COUNT, wrong: 0 });
    });

    it(`loses few origins when one of ${count} entries is cut off, and tells none wrongly`, () => {
      const entries = new Entries(count);
      const [first, second, third] = entries.nodes;
      entries.network.run(3000);
      entries.network.partitioned.add(third!.name);
      numbers.forEach((number) => {
        first!.task.note(...originOf(number));
        entries.network.run(20);
      });
      const { known, wrong } = ask(entries, second!, numbers);
      expect(wrong).to.equal(0);
      expect(known).to.equal(STREAM_COUNT);
      expect(ask(entries, third!, numbers)).to.deep.equal({ known: 0, wrong: 0 });
    });
  });

  it('tells a single entry where its streams began, and that nobody knows the others', () => {
    const entries = new Entries(1);
    const [only] = entries.nodes;
    // Before that, others may exist that it does not know yet.
    entries.network.run(1500);
    only!.task.note(...originOf(1));
    expect(ask(entries, only!, [1, 2])).to.deep.equal({ known: 1, wrong: 0 });
    expect(only!.results.has('r2')).to.equal(true);
  });

  it('does not tell the origin of a name that two entries gave to streams of two versions', () => {
    const entries = new Entries(3);
    const [first, second, third] = entries.nodes;
    entries.network.run(2000);
    first!.task.note(originOf(1)[0], 'v1');
    second!.task.note(originOf(1)[0], 'v2');
    entries.network.run(500);
    expect(ask(entries, third!, [1])).to.deep.equal({ known: 0, wrong: 0 });
  });

  it('counts the last attempt of an entry that sent a request twice', () => {
    const entries = new Entries(3);
    const [first, second] = entries.nodes;
    entries.network.run(2000);
    first!.task.note(originOf(1)[0], 'v1');
    first!.task.note(originOf(1)[0], 'v2');
    entries.network.run(500);
    expect(ask(entries, second!, [1])).to.deep.equal({ known: 1, wrong: 0 });
  });

  it('tells one that has just started what it has seen, at once if it has watched for long enough', () => {
    const entries = new Entries(1);
    entries.network.run(2000);
    const summary = { versions: ['v1'], isComplete: true };
    entries.start('elder', summary);
    const young = entries.start('young', { versions: ['v1'], isComplete: false });
    young.task.lookUp({ service: SERVICE, requestId: 'r1' });
    entries.network.run(100);
    expect(young.results.has('r1')).to.equal(true);
    expect(young.summaries).to.deep.include(summary);
  });

  it('forgets origins after a minute', () => {
    const entries = new Entries(1);
    const [only] = entries.nodes;
    only!.task.note(...originOf(1));
    entries.network.run(61_000);
    expect(only!.task.versionOf({ service: SERVICE, requestId: 'r1' })).to.equal(undefined);
  });
});
