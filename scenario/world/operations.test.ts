import { expect } from 'chai';
import { reportBurn } from '../../core/burn/mod.ts';
import { sha256 } from '../../core/set/mod.ts';
import { SimulatedEngine, SimulatedService, WeightStore } from '../../standins/mod.ts';
import { explainPlacement } from '../../tasks/entry/mod.ts';
import type { CallerRequest, EntryTask, SubmissionEvent } from '../../tasks/entry/mod.ts';
import { VirtualWorld } from './virtualWorld.ts';
import type { WorldProcess } from './virtualWorld.ts';

const SET = `
[tenant t]
[tenant u]
[caller c]
tenant = t
token_sha256 = ${sha256('t')}
[caller d]
tenant = u
token_sha256 = ${sha256('u')}
[base_model m]
[pool p]
base_model = m
policy = load-stalls
slots = 2
loads_per_second = 4
loads_at_once = 2
[adapter t/a]
pool = p
versions = 1
[service t/s]
shared = true
[limit t]
requests_per_second = 40
[objective answers]
tenant = t
target = 0.5
first_token_ms = 1
[backend_server e1]
pool = p
[backend_server s1]
service = t/s
`;

const COMPLETION: CallerRequest = {
  kind: 'completion',
  model: 't/a@1',
  prompt: 'draft',
  maxTokens: 4,
  priority: 0,
};

async function startWorld(): Promise<VirtualWorld> {
  const world = new VirtualWorld({ seed: 3 });
  const { clock } = world;
  const store = new WeightStore({ clock, loadsPerSecond: 4, loadsAtOnce: 2 });
  world.startSidecar('e1', {
    kind: 'engine',
    engine: new SimulatedEngine({ clock, store, slots: 2 }),
  });
  world.startSidecar('s1', { kind: 'service', service: new SimulatedService(clock) });
  world.listSidecars(['e1', 's1']);
  const listed = ['entry-1', 'entry-2'].map((host) => ({
    host,
    role: 'entry' as const,
    address: host,
    availabilityZone: 'az-1',
    state: 'live' as const,
  }));
  world.hosts = [...world.hosts, ...listed];
  world.publish(1, SET);
  return world;
}

async function ask(
  world: VirtualWorld,
  entry: WorldProcess<EntryTask>,
  request: CallerRequest,
  tenant = 't',
): Promise<Extract<SubmissionEvent, { kind: 'final' }>> {
  const events: SubmissionEvent[] = [];
  entry.task.submit({
    requestId: world.nonce(),
    tokenSha256: sha256(tenant),
    request,
    timeoutMs: 20_000,
    onEvent: (event) => events.push(event),
  });
  await world.advanceUntil(() => events.at(-1)?.kind === 'final', 30_000);
  return events.at(-1) as Extract<SubmissionEvent, { kind: 'final' }>;
}

describe('the burn report of a running system', () => {
  it('counts what an entry served, by cause and availability zone', async () => {
    const world = await startWorld();
    const entry = world.startEntry('entry-1');
    await world.advance(5000);
    expect(await ask(world, entry, COMPLETION)).to.have.nested.property('outcome.kind', 'done');
    const [burn] = reportBurn([entry.task.burn()]).objectives;
    expect(burn).to.include({ name: 'answers', total: 1, bad: 1 });
    expect(burn?.byCause).to.deep.equal([{ name: 'stall', count: 1 }]);
    expect(burn?.byAvailabilityZone).to.deep.equal([{ name: 'az-1', count: 1 }]);
  });

  it('names the missing incarnation of an entry that restarted', async () => {
    const world = await startWorld();
    const sidecar = world.startSidecar('e1', {
      kind: 'service',
      service: new SimulatedService(world.clock),
    });
    const before = world.startEntry('entry-1');
    await world.advance(5000);
    before.kill();
    const after = world.startEntry('entry-1');
    await world.advance(5000);
    const report = reportBurn([after.task.burn(), sidecar.task.burn()]);
    expect(report.missing.map(({ incarnation }) => incarnation)).to.deep.equal([
      before.identity.incarnation,
    ]);
    expect(report.coverage).to.have.length(1);
  });
});

describe('tenant limits shared over links', () => {
  it('are split in proportion to demand once the demand reaches the limit', async () => {
    const world = await startWorld();
    const [busy, idle] = [world.startEntry('entry-1'), world.startEntry('entry-2')];
    await world.advance(5000);
    const submit = (): void =>
      busy.task.submit({
        requestId: world.nonce(),
        tokenSha256: sha256('t'),
        request: COMPLETION,
        timeoutMs: 20_000,
        onEvent: () => undefined,
      });
    for (let at = 0; at < 3000; at += 10) world.clock.schedule(at, submit);
    await world.advance(3000);
    const [use] = busy.task.inspect().limits;
    expect(use).to.include({ entriesHeard: 2 });
    expect(use?.requestsPerSecond).to.be.greaterThan(40 * 0.9);
    expect(idle.task.inspect().limits[0]?.requestsPerSecond).to.be.at.most(40 * 0.1);
  });

  it('leave an idle entry a share while the demand of the others is below the limit', async () => {
    const world = await startWorld();
    const [busy, idle] = [world.startEntry('entry-1'), world.startEntry('entry-2')];
    await world.advance(5000);
    for (let count = 0; count < 10; count += 1) await ask(world, busy, COMPLETION);
    const parts = [busy, idle].map(({ task }) => task.inspect().limits[0]?.requestsPerSecond ?? 0);
    expect(parts[0]).to.be.greaterThan(parts[1]!);
    expect(parts[1]).to.be.greaterThan(40 * 0.25);
    expect(parts[0]! + parts[1]!).to.be.at.most(40);
  });

  it('are split evenly when the relays are unreachable', async () => {
    const world = await startWorld();
    const entry = world.startEntry('entry-1');
    world.startEntry('entry-2');
    await world.advance(5000);
    ['e1', 's1'].forEach((host) => world.network.cut(host, 'entry-1'));
    await world.advance(3000);
    expect(entry.task.inspect().limits[0]).to.include({ entriesHeard: 0, requestsPerSecond: 20 });
  });
});

describe('idempotency keys used over links', () => {
  it('are valid only for the tenant for which they were minted', async () => {
    const world = await startWorld();
    const entry = world.startEntry('entry-1');
    await world.advance(5000);
    const { body: key } = await ask(world, entry, { kind: 'mint-key', service: 't/s' });
    const call: CallerRequest = { kind: 'service-call', service: 't/s', key, body: 'book' };
    expect((await ask(world, entry, call)).outcome.kind).to.equal('done');
    for (const kind of ['lookup-key', 'revoke-key'] as const) {
      const stolen = await ask(world, entry, { kind, service: 't/s', key }, 'u');
      expect(stolen).to.have.nested.property('outcome.reason', 'bad-request');
      expect(stolen.body).to.equal('');
    }
    expect((await ask(world, entry, call, 'u')).outcome).to.include({ reason: 'bad-request' });
    const own = await ask(world, entry, { kind: 'lookup-key', service: 't/s', key });
    expect(own.outcome.kind).to.equal('done');
  });
});

describe('explainPlacement', () => {
  it('names the chosen backend server and the cost terms of each', async () => {
    const world = await startWorld();
    const entry = world.startEntry('entry-1');
    await world.advance(5000);
    await ask(world, entry, COMPLETION);
    await world.advance(1000);
    const explanation = explainPlacement(entry.task.inspect(), 't/a@1', 't');
    expect(explanation).to.include({ kind: 'placement', chosen: 'e1', pool: 'p', hidden: 0 });
    expect(explanation).to.have.nested.property('candidates[0].terms.isResident', true);
    const refused = explainPlacement(entry.task.inspect(), 't/a@1', 'u');
    expect(refused).to.include({ kind: 'not-run', reason: 'forbidden' });
  });
});
