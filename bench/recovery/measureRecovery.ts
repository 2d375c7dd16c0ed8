import type { Milliseconds } from '../../core/clock/mod.ts';
import type { Outcome } from '../../core/outcome/mod.ts';
import type { ObservedRequest } from '../../scenario/observer/mod.ts';
import { Session } from '../../scenario/mod.ts';
import { RECOVERY_FAULTS } from './recoveryFaults.ts';
import type { RecoveryFault, RecoveryFaultName } from './recoveryFaults.ts';

type OutcomeCounts = Readonly<Partial<Record<Outcome['kind'] | 'open', number>>>;

/** How the system recovered from one fault; times are virtual and since the fault. */
export type RecoveryRow = {
  readonly fault: RecoveryFaultName;
  readonly seed: number;
  /** Until the first completion that was sent after the fault ended as done. */
  readonly servedAgainMs: Milliseconds | undefined;
  /** Until the first keyed call that was sent after the fault ended as done. */
  readonly calledAgainMs: Milliseconds | undefined;
  /** Until the long stream went on; absent when it never did. */
  readonly streamResumedMs: Milliseconds | undefined;
  /** Until the last completion was sent that ended as unknown; 0 when there was none. */
  readonly avoidedMs: Milliseconds;
  /** Until the last completion was sent that the struck host served; 0 when there was none. */
  readonly lastNewWorkMs: Milliseconds;
  readonly completions: OutcomeCounts;
  readonly keyedCalls: OutcomeCounts;
  /** Share of keyed calls that ended as unknown. */
  readonly unknownShare: number;
  readonly violations: readonly string[];
};

const ENTRY = 'entry-1';

const SERVICE = 't/s';

const STEP_MS: Milliseconds = 50;

const BEFORE_MS: Milliseconds = 2000;

const AFTER_MS: Milliseconds = 12_000;

const SETTLE_MS: Milliseconds = 12_000;

const TIMEOUT_MS: Milliseconds = 10_000;

const ADAPTERS = ['t/a@1', 't/b@1', 't/c@1'] as const;

const LONG_STREAM = 'long';

async function startSession(seed: number): Promise<Session> {
  const session = new Session({ seed });
  session.startEntry(ENTRY);
  session.addEngine('e1', true);
  session.addEngine('e2', true);
  session.addService('s1');
  session.publish(1);
  await session.becomeReady();
  const request = {
    kind: 'completion',
    model: ADAPTERS[0],
    prompt: LONG_STREAM,
    maxTokens: 900,
    priority: 0,
  } as const;
  session.submit(LONG_STREAM, ENTRY, request, 60_000);
  return session;
}

/** Sends one completion, and a keyed call for each key that has come. */
function sendStep(session: Session, step: number): void {
  const name = `c${step}`;
  const model = ADAPTERS[step % ADAPTERS.length]!;
  const completion = {
    kind: 'completion',
    model,
    prompt: name,
    maxTokens: 2,
    priority: 0,
  } as const;
  session.submit(name, ENTRY, completion, TIMEOUT_MS);
  session.submit(`m${step}`, ENTRY, { kind: 'mint-key', service: SERVICE }, TIMEOUT_MS);
  for (const [minted, key] of [...session.keys]) {
    const body = `b${minted.slice(1)}`;
    if (!minted.startsWith('m') || session.observer.requests.has(body)) continue;
    const call = { kind: 'service-call', service: SERVICE, key, body } as const;
    session.submit(body, ENTRY, call, TIMEOUT_MS);
  }
}

async function load(session: Session, from: number, time: Milliseconds): Promise<number> {
  const steps = time / STEP_MS;
  for (let step = from; step < from + steps; step += 1) {
    sendStep(session, step);
    await session.advance(STEP_MS);
  }
  return from + steps;
}

function countOutcomes(requests: readonly ObservedRequest[]): OutcomeCounts {
  const counts: Partial<Record<Outcome['kind'] | 'open', number>> = {};
  requests.forEach(({ outcome }) => {
    const kind = outcome?.kind ?? 'open';
    counts[kind] = (counts[kind] ?? 0) + 1;
  });
  return counts;
}

function firstDone(
  requests: readonly ObservedRequest[],
  since: Milliseconds,
): Milliseconds | undefined {
  const ends = requests
    .filter(({ submittedAt, outcome }) => submittedAt >= since && outcome?.kind === 'done')
    .map(({ endedAt }) => endedAt ?? Infinity);
  return ends.length === 0 ? undefined : Math.min(...ends) - since;
}

function lastSent(requests: readonly ObservedRequest[], since: Milliseconds): Milliseconds {
  return Math.max(0, ...requests.map(({ submittedAt }) => submittedAt - since));
}

/** Measures one fault. */
export async function measureRecovery(fault: RecoveryFaultName, seed = 1): Promise<RecoveryRow> {
  const session = await startSession(seed);
  const next = await load(session, 0, BEFORE_MS);
  const long = session.observer.requests.get(LONG_STREAM)!;
  const { host, text } = long;
  const since = session.world.clock.now();
  let resumedAt: Milliseconds | undefined;
  const strike: RecoveryFault = RECOVERY_FAULTS[fault];
  strike(session, host);
  const { length } = text;
  session.onStep = () => {
    if (long.text.length > length) resumedAt ??= session.world.clock.now();
  };
  await load(session, next, AFTER_MS);
  session.world.configuration.setDown(false);
  await session.advance(SETTLE_MS);
  const requests = [...session.observer.requests.values()];
  const completions = requests.filter(
    ({ name, request }) => request.kind === 'completion' && name !== LONG_STREAM,
  );
  const calls = requests.filter(({ request }) => request.kind === 'service-call');
  const unknowns = calls.filter(({ outcome }) => outcome?.kind === 'unknown');
  return {
    fault,
    seed,
    servedAgainMs: firstDone(completions, since),
    calledAgainMs: firstDone(calls, since),
    streamResumedMs: resumedAt === undefined ? undefined : resumedAt - since,
    avoidedMs: lastSent(
      completions.filter(({ outcome }) => outcome?.kind === 'unknown'),
      since,
    ),
    lastNewWorkMs: lastSent(
      completions.filter((each) => each.host === host),
      since,
    ),
    completions: countOutcomes(completions),
    keyedCalls: countOutcomes(calls),
    unknownShare: unknowns.length / calls.length,
    violations: session.observer.finish(session.runs),
  };
}
