import { expect } from 'chai';
import { createVirtualClock } from '../../core/clock/mod.ts';
import type { VirtualClock } from '../../core/clock/mod.ts';
import type { SetFrame } from '../../core/link/mod.ts';
import { packSet, SIDECAR_SCOPE } from '../../core/set/mod.ts';
import type { PackedSet, PublishedSet, SetObject } from '../../core/set/mod.ts';
import { SimulatedConfiguration } from '../../standins/mod.ts';
import { SetTask } from './mod.ts';

const HEARTBEAT_MS = 250;

const IN_FORCE_WITHIN_MS = 12_000;

function createObjects(version: number): readonly SetObject[] {
  return [
    { kind: 'tenant', name: 't' },
    {
      kind: 'adapter',
      name: 't/a',
      tenant: 't',
      pool: 'p',
      versions: [`${version}`],
      shared: false,
    },
    { kind: 'limit', name: 't', requestsPerSecond: version, requestsInFlight: 0 },
  ];
}

type Process = {
  readonly task: SetTask;
  readonly sets: PublishedSet[];
  readonly conflicts: unknown[];
};

/** Set tasks linked like entries and sidecars, each with its own configuration service. */
class Fleet {
  readonly clock: VirtualClock = createVirtualClock();

  readonly services = new Map<string, SimulatedConfiguration>();

  readonly processes = new Map<string, Process>();

  readonly isolatedHosts = new Set<string>();

  add(host: string, watches: boolean, service = this.addService(host)): Process {
    const isSidecar = host.startsWith('sidecar');
    const sets: PublishedSet[] = [];
    const conflicts: unknown[] = [];
    const task = new SetTask({
      clock: this.clock,
      configuration: service,
      log: (event) => {
        if (event === 'setConflict') conflicts.push(event);
      },
      onSet: (set) => sets.push(set),
      send: (peer, frame) => this.#send(host, peer, frame),
      isWatcher: () => watches,
      forwardsReads: isSidecar,
      random: () => 0.5,
      ...(isSidecar ? { scope: SIDECAR_SCOPE } : {}),
    });
    const process = { task, sets, conflicts };
    this.processes.set(host, process);
    task.start();
    return process;
  }

  addService(host: string): SimulatedConfiguration {
    const service = new SimulatedConfiguration(this.clock);
    this.services.set(host, service);
    return service;
  }

  put({ values }: PackedSet, hosts = [...this.services.keys()]): void {
    hosts.forEach((host) =>
      values.forEach(({ name, text }) => this.services.get(host)!.put(name, text)),
    );
  }

  async advance(durationMs: number): Promise<void> {
    const target = this.clock.now() + durationMs;
    for (let next = this.clock.now(); next <= target; next += HEARTBEAT_MS) {
      await this.#runUntil(next);
      this.#sendHeartbeats();
    }
    await this.#runUntil(target);
  }

  generations(): readonly number[] {
    return [...this.processes.values()].map(({ task }) => task.status().generation);
  }

  async #runUntil(target: number): Promise<void> {
    for (;;) {
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
      const due = this.clock.nextDue();
      if (due === undefined || due > target) break;
      this.clock.runNext();
    }
    this.clock.advanceTo(target);
  }

  #isLinked(a: string, b: string): boolean {
    return (
      a.startsWith('entry') !== b.startsWith('entry') &&
      !this.isolatedHosts.has(a) &&
      !this.isolatedHosts.has(b)
    );
  }

  #sendHeartbeats(): void {
    for (const [from, { task }] of this.processes) {
      const { generation, digest } = task.status();
      const set = { generation, digest };
      for (const [to, peer] of this.processes) {
        if (this.#isLinked(from, to)) peer.task.handleEvent({ kind: 'peer-set', peer: from, set });
      }
    }
  }

  #send(from: string, to: string, frame: SetFrame): void {
    this.clock.schedule(1, () => {
      const peer = this.processes.get(to);
      if (this.#isLinked(from, to)) {
        peer?.task.handleEvent({ kind: 'peer-frame', peer: from, frame });
      }
    });
  }
}

const first = packSet(createObjects(1), 1);

const second = packSet(createObjects(2), 2, first.setParts);

/** All parts, for a service that does not have those of the first set. */
const secondWithAllParts = packSet(createObjects(2), 2);

/** Starts two entries that watch, two that poll, and two sidecars. */
function startFleet(): Fleet {
  const fleet = new Fleet();
  ['entry-1', 'entry-2'].forEach((host) => fleet.add(host, true));
  ['entry-3', 'entry-4', 'sidecar-1', 'sidecar-2'].forEach((host) => fleet.add(host, false));
  return fleet;
}

describe('SetTask', () => {
  describe('when a set is written to the service', () => {
    it('puts it into force everywhere while half of the processes cannot reach the service', async () => {
      const fleet = startFleet();
      ['entry-2', 'entry-3', 'sidecar-1'].forEach((host) =>
        fleet.services.get(host)!.setDown(true),
      );
      fleet.put(first);
      await fleet.advance(IN_FORCE_WITHIN_MS);
      expect(fleet.generations()).to.deep.equal([1, 1, 1, 1, 1, 1]);
      fleet.put(second);
      await fleet.advance(IN_FORCE_WITHIN_MS);
      expect(fleet.generations()).to.deep.equal([2, 2, 2, 2, 2, 2]);
      const { sets } = fleet.processes.get('entry-3')!;
      expect(sets.at(-1)!.adapters.get('t/a')!.versions).to.deep.equal(['2']);
    });

    it('reads it from the service only in watchers', async () => {
      const fleet = startFleet();
      fleet.put(first);
      await fleet.advance(IN_FORCE_WITHIN_MS);
      const before = fleet.services.get('entry-3')!.callCount;
      fleet.put(second);
      await fleet.advance(IN_FORCE_WITHIN_MS);
      expect(fleet.generations()).to.deep.equal([2, 2, 2, 2, 2, 2]);
      expect(fleet.services.get('entry-3')!.callCount).to.equal(before);
    });
  });

  describe('when a process starts', () => {
    it('reads the set from its peers while the service is down', async () => {
      const fleet = startFleet();
      fleet.put(first);
      await fleet.advance(IN_FORCE_WITHIN_MS);
      fleet.services.forEach((service) => service.setDown(true));
      const service = fleet.addService('entry-5');
      service.setDown(true);
      const late = fleet.add('entry-5', true, service);
      await fleet.advance(IN_FORCE_WITHIN_MS);
      expect(late.task.status().generation).to.equal(1);
      expect(late.sets[0]!.adapters.get('t/a')).to.not.equal(undefined);
    });

    it('reads a newer set from its peers when the service is stale', async () => {
      const fleet = startFleet();
      fleet.put(secondWithAllParts);
      await fleet.advance(IN_FORCE_WITHIN_MS);
      const service = fleet.addService('entry-5');
      fleet.put(first, ['entry-5']);
      const late = fleet.add('entry-5', true, service);
      await fleet.advance(IN_FORCE_WITHIN_MS);
      expect(late.task.status().generation).to.equal(2);
      expect(fleet.generations()).to.deep.equal([2, 2, 2, 2, 2, 2, 2]);
    });
  });

  describe('when the service returns older data', () => {
    it('does not roll back the set, whether the service is stale or empty', async () => {
      const fleet = startFleet();
      fleet.put(secondWithAllParts);
      await fleet.advance(IN_FORCE_WITHIN_MS);
      fleet.put(first);
      await fleet.advance(IN_FORCE_WITHIN_MS);
      const service = new SimulatedConfiguration(fleet.clock);
      fleet.add('entry-5', true, service);
      await fleet.advance(IN_FORCE_WITHIN_MS);
      expect(fleet.generations()).to.deep.equal([2, 2, 2, 2, 2, 2, 2]);
      fleet.processes.forEach(({ sets }) => {
        const generations = sets.map(({ generation }) => generation);
        expect(generations).to.deep.equal([...generations].sort((a, b) => a - b));
      });
    });
  });

  describe('when two sets have the same generation', () => {
    it('logs a conflict everywhere and activates neither in a process that starts later', async () => {
      const fleet = startFleet();
      fleet.put(first, ['entry-1', 'entry-3']);
      fleet.put(packSet(createObjects(9), 1), ['entry-2', 'entry-4']);
      await fleet.advance(IN_FORCE_WITHIN_MS);
      const late = fleet.add('entry-5', false);
      await fleet.advance(IN_FORCE_WITHIN_MS);
      expect(late.task.status().generation).to.equal(0);
      fleet.processes.forEach(({ conflicts, task }) => {
        expect(task.status().conflict?.digests).to.have.length(2);
        expect(conflicts).to.have.length(1);
      });
    });

    it('activates a higher generation, which resolves the conflict', async () => {
      const fleet = startFleet();
      fleet.put(first, ['entry-1', 'entry-3']);
      fleet.put(packSet(createObjects(9), 1), ['entry-2', 'entry-4']);
      await fleet.advance(IN_FORCE_WITHIN_MS);
      fleet.put(second);
      await fleet.advance(IN_FORCE_WITHIN_MS);
      expect(fleet.generations()).to.deep.equal([2, 2, 2, 2, 2, 2]);
      fleet.processes.forEach(({ task }) => expect(task.status().conflict).to.equal(undefined));
    });
  });

  describe('during a partition', () => {
    it('keeps the old set at isolated processes until the partition heals', async () => {
      const fleet = startFleet();
      fleet.put(first);
      await fleet.advance(IN_FORCE_WITHIN_MS);
      ['entry-3', 'sidecar-2'].forEach((host) => fleet.isolatedHosts.add(host));
      fleet.put(second);
      await fleet.advance(IN_FORCE_WITHIN_MS);
      expect(fleet.generations()).to.deep.equal([2, 2, 1, 2, 2, 1]);
      fleet.isolatedHosts.clear();
      await fleet.advance(IN_FORCE_WITHIN_MS);
      expect(fleet.generations()).to.deep.equal([2, 2, 2, 2, 2, 2]);
    });
  });
});
