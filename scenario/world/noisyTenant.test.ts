import { expect } from 'chai';
import type { Milliseconds } from '../../core/clock/mod.ts';
import { sha256 } from '../../core/set/mod.ts';
import { SimulatedEngine, WeightStore } from '../../standins/mod.ts';
import type { EntryTask, SubmissionEvent } from '../../tasks/entry/mod.ts';
import { VirtualWorld } from './virtualWorld.ts';
import type { WorldProcess } from './virtualWorld.ts';

/** Requests per second of a tenant that stays within its share. */
const SHARE_PER_SECOND = 4;

/** Load of the noisy tenant, as a multiple of its share. */
const NOISY_FACTOR = 10;

const LOAD_DURATION_MS: Milliseconds = 15_000;

/** Upper bound of the other tenant's p95 under noise over its p95 without. */
const MAX_P95_RATIO = 1.1;

const TOKENS = { quiet: 'quiet-token', noisy: 'noisy-token' } as const;

type Tenant = keyof typeof TOKENS;

const SET = `
[tenant quiet]
[tenant noisy]
[caller quiet]
tenant = quiet
token_sha256 = ${sha256(TOKENS.quiet)}
[caller noisy]
tenant = noisy
token_sha256 = ${sha256(TOKENS.noisy)}
[base_model m]
[pool p]
base_model = m
policy = load-stalls
slots = 2
loads_per_second = 4
loads_at_once = 2
[adapter quiet/a]
pool = p
versions = 1
[adapter noisy/a]
pool = p
versions = 1
[limit quiet]
requests_per_second = ${SHARE_PER_SECOND * 2}
[limit noisy]
requests_per_second = ${SHARE_PER_SECOND}
[backend_server e1]
pool = p
[backend_server e2]
pool = p
`;

type LoadResult = {
  readonly quietP95Ms: Milliseconds;
  readonly noisyRefused: number;
  /** Reasons for failed requests, other than the noisy tenant's limit. */
  readonly otherReasons: readonly string[];
};

async function startWorld(): Promise<{
  readonly world: VirtualWorld;
  readonly entries: readonly WorldProcess<EntryTask>[];
}> {
  const world = new VirtualWorld({ seed: 11 });
  const { clock } = world;
  const store = new WeightStore({ clock, loadsPerSecond: 4, loadsAtOnce: 2 });
  for (const host of ['e1', 'e2']) {
    const engine = new SimulatedEngine({ clock, store, slots: 2 });
    world.startSidecar(host, { kind: 'engine', engine });
  }
  world.listSidecars(['e1', 'e2']);
  const listed = ['entry-1', 'entry-2'].map((host) => ({
    host,
    role: 'entry' as const,
    address: host,
    availabilityZone: 'az-1',
    state: 'live' as const,
  }));
  world.hosts = [...world.hosts, ...listed];
  const entries = [world.startEntry('entry-1'), world.startEntry('entry-2')];
  world.publish(1, SET);
  await world.advance(5000);
  return { world, entries };
}

async function runLoad(noisyPerSecond: number): Promise<LoadResult> {
  const { world, entries } = await startWorld();
  const { clock } = world;
  const quietFirstChunkMs: Milliseconds[] = [];
  const otherReasons: string[] = [];
  let noisyRefused = 0;
  let sent = 0;
  const send = (tenant: Tenant): void => {
    const sentAt = clock.now();
    let isAnswered = false;
    sent += 1;
    const onEvent = (event: SubmissionEvent): void => {
      if (event.kind === 'chunk' && !isAnswered && tenant === 'quiet') {
        quietFirstChunkMs.push(clock.now() - sentAt);
      }
      isAnswered ||= event.kind === 'chunk';
      if (event.kind !== 'final' || event.outcome.kind === 'done') return;
      const { reason } = event.outcome;
      if (reason === 'limit' && tenant === 'noisy') noisyRefused += 1;
      else otherReasons.push(`${tenant} ${reason}`);
    };
    entries[sent % entries.length]!.task.submit({
      requestId: `${tenant}-${sent}`,
      tokenSha256: sha256(TOKENS[tenant]),
      request: {
        kind: 'completion',
        model: `${tenant}/a@1`,
        prompt: 'draft',
        maxTokens: 16,
        priority: 0,
      },
      timeoutMs: 30_000,
      onEvent,
    });
  };
  const schedule = (tenant: Tenant, perSecond: number): void => {
    const intervalMs = 1000 / perSecond;
    for (let at = 0; at < LOAD_DURATION_MS; at += intervalMs) {
      clock.schedule(at + world.randomBelow(Math.ceil(intervalMs)), () => send(tenant));
    }
  };
  schedule('quiet', SHARE_PER_SECOND);
  schedule('noisy', noisyPerSecond);
  await world.advance(LOAD_DURATION_MS + 10_000);
  quietFirstChunkMs.sort((a, b) => a - b);
  const quietP95Ms = quietFirstChunkMs[Math.ceil(quietFirstChunkMs.length * 0.95) - 1] ?? Infinity;
  return { quietP95Ms, noisyRefused, otherReasons };
}

describe('a noisy tenant', () => {
  it('that sends ten times its share raises the p95 of others by at most 10 %', async () => {
    const baseline = await runLoad(SHARE_PER_SECOND);
    const noisy = await runLoad(SHARE_PER_SECOND * NOISY_FACTOR);
    expect([...baseline.otherReasons, ...noisy.otherReasons]).to.deep.equal([]);
    expect(noisy.noisyRefused).to.be.greaterThan(SHARE_PER_SECOND);
    expect(
      noisy.quietP95Ms / baseline.quietP95Ms,
      `${noisy.quietP95Ms} over ${baseline.quietP95Ms}`,
    ).to.be.at.most(MAX_P95_RATIO);
  });
});
