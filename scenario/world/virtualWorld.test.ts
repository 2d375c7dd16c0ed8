import { expect } from 'chai';
import { sha256 } from '../../core/set/mod.ts';
import {
  SimulatedEngine,
  SimulatedService,
  WeightStore,
  completionText,
} from '../../standins/mod.ts';
import type { EntryTask, SubmissionEvent, CallerRequest } from '../../tasks/entry/mod.ts';
import { VirtualWorld } from './virtualWorld.ts';
import type { WorldProcess } from './virtualWorld.ts';

const TOKEN = sha256('token');

const SET = `
[tenant t]
[caller c]
tenant = t
token_sha256 = ${TOKEN}
[base_model m]
[pool p]
base_model = m
policy = load-stalls
slots = 2
loads_per_second = 4
loads_at_once = 2
[adapter t/a]
pool = p
versions = 1, 2
[adapter t/b]
pool = p
versions = 1
[service t/s]
[backend_server e1]
pool = p
[backend_server e2]
pool = p
[backend_server s1]
service = t/s
`;

type Fixture = {
  readonly world: VirtualWorld;
  readonly entry: WorldProcess<EntryTask>;
  readonly service: SimulatedService;
  readonly serviceSidecar: WorldProcess<unknown>;
};

async function startFixture(): Promise<Fixture> {
  const world = new VirtualWorld({ seed: 7 });
  const { clock } = world;
  const store = new WeightStore({ clock, loadsPerSecond: 4, loadsAtOnce: 2 });
  for (const host of ['e1', 'e2']) {
    const engine = new SimulatedEngine({ clock, store, slots: 2 });
    world.startSidecar(host, { kind: 'engine', engine });
  }
  const service = new SimulatedService(clock);
  const serviceSidecar = world.startSidecar('s1', { kind: 'service', service });
  world.listSidecars(['e1', 'e2', 's1']);
  const entry = world.startEntry('entry-1');
  world.publish(1, SET);
  const isReady = (): boolean =>
    entry.task
      .status()
      .links.filter(({ health, peerSet }) => health === 'ready' && peerSet.generation === 1)
      .length === 3;
  expect(await world.advanceUntil(isReady, 10_000)).to.equal(true);
  return { world, entry, service, serviceSidecar };
}

async function ask(
  fixture: Fixture,
  name: string,
  request: CallerRequest,
): Promise<readonly SubmissionEvent[]> {
  const events: SubmissionEvent[] = [];
  fixture.entry.task.submit({
    requestId: name,
    tokenSha256: TOKEN,
    request,
    timeoutMs: 30_000,
    onEvent: (event) => events.push(event),
  });
  await fixture.world.advanceUntil(() => events.at(-1)?.kind === 'final', 60_000);
  return events;
}

function completion(model: string): CallerRequest {
  return { kind: 'completion', model, prompt: 'draft', maxTokens: 8, priority: 0 };
}

function textOf(events: readonly SubmissionEvent[]): string {
  return events.map((event) => (event.kind === 'chunk' ? event.text : '')).join('');
}

describe('VirtualWorld', () => {
  describe('completions', () => {
    it('return complete answers of the requested adapter version, with more versions than slots', async () => {
      const fixture = await startFixture();
      for (const model of ['t/a@1', 't/a@2', 't/b@1', 't/a@1']) {
        const events = await ask(fixture, `${model}-${fixture.world.nonce()}`, completion(model));
        expect(textOf(events)).to.equal(completionText(model, 'draft', 8));
        expect(events.at(-1)).to.have.nested.property('outcome.kind', 'done');
      }
    });

    it('end as not run when the adapter is unknown', async () => {
      const fixture = await startFixture();
      const events = await ask(fixture, 'r', completion('t/none@1'));
      expect(events).to.have.length(1);
      expect(events[0]).to.have.nested.property('outcome.reason', 'not-found');
    });
  });

  describe('service calls', () => {
    it('take effect once when the key is used twice', async () => {
      const fixture = await startFixture();
      const minted = await ask(fixture, 'm', { kind: 'mint-key', service: 't/s' });
      const final = minted.at(-1);
      const key = final?.kind === 'final' ? final.body : '';
      const call: CallerRequest = { kind: 'service-call', service: 't/s', key, body: 'book' };
      await ask(fixture, 'c1', call);
      const again = await ask(fixture, 'c2', call);
      expect(again.at(-1)).to.have.nested.property('outcome.kind', 'done');
      expect(fixture.service.effects).to.deep.equal(['book']);
    });

    it('do not run and end as unknown when the key is older than the sidecar process', async () => {
      const fixture = await startFixture();
      const minted = await ask(fixture, 'm', { kind: 'mint-key', service: 't/s' });
      const final = minted.at(-1);
      const key = final?.kind === 'final' ? final.body : '';
      fixture.serviceSidecar.kill();
      const { service, world } = fixture;
      world.startSidecar('s1', { kind: 'service', service });
      await world.advance(5000);
      const call: CallerRequest = { kind: 'service-call', service: 't/s', key, body: 'book' };
      const events = await ask(fixture, 'c1', call);
      expect(events.at(-1)).to.have.nested.property('outcome.reason', 'restarted');
      expect(service.effects).to.deep.equal([]);
    });
  });

  it('reports a newly resident adapter to entries without waiting for a heartbeat', async () => {
    const { world, entry } = await startFixture();
    entry.task.submit({
      requestId: 'first',
      tokenSha256: TOKEN,
      request: completion('t/a@1'),
      timeoutMs: 30_000,
      onEvent: () => undefined,
    });
    const startedAt = world.clock.now();
    const isKnown = (): boolean =>
      entry.task.status().links.some(({ report }) => report.resident.includes('t/a@1'));
    await world.advanceUntil(isKnown, 5000);
    const elapsedMs = world.clock.now() - startedAt;
    // The load takes 250 ms; the next heartbeat, one of which comes every 250 ms, would report it later.
    expect(elapsedMs).to.be.at.most(275);
  });

  it('is deterministic for a given seed', async () => {
    const sessions = [await startFixture(), await startFixture()].map(({ world, entry }) => [
      world.network.frames,
      world.clock.now(),
      entry.identity.incarnation,
    ]);
    expect(sessions[0]).to.deep.equal(sessions[1]);
  });
});
