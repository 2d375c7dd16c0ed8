import type { Milliseconds } from '../../core/clock/mod.ts';
import type { Outcome } from '../../core/outcome/mod.ts';
import type { ObservedRequest } from '../../scenario/observer/mod.ts';
import { Session } from '../../scenario/mod.ts';
import { RECOVERY_FAULTS } from './recoveryFaults.ts';
import type { RecoveryFault, RecoveryFaultName } from './recoveryFaults.ts';

type OutcomeCounts = Readonly<Partial<Record<Outcome['kind'] | 'open', number>>>;

/** How the system recovers from one fault; times are virtual and counted from the fault. */
export type RecoveryRow = {
  readonly fault: RecoveryFaultName;
  readonly seed: number;
  /** When the first completion submitted after the fault ends as done. */
  readonly servedAgainMs: Milliseconds | undefined;
  /** When the first keyed call submitted after the fault ends as done. */
  readonly calledAgainMs: Milliseconds | undefined;
  /** When the long stream continues; absent if it does not. */
  readonly streamResumedMs: Milliseconds | undefined;
  /** When the last completion that ends as unknown is submitted; 0 if there is none. */
  readonly avoidedMs: Milliseconds;
  /** When the last completion that the faulted host serves is submitted; 0 if there is none. */
  readonly lastNewWorkMs: Milliseconds;
  readonly completions: OutcomeCounts;
  readonly keyedCalls: OutcomeCounts;
  /** Share of keyed calls that end as unknown. */
  readonly unknownShare: number;
  readonly violations: readonly string[];
};

const ENTRY = 'entry-1';

const SERVICE = 't/s';

const STEP_MS: Milliseconds = 50;

const LOAD_BEFORE_FAULT_MS: Milliseconds = 2000;

const LOAD_AFTER_FAULT_MS: Milliseconds = 12_000;

const SETTLE_MS: Milliseconds = 12_000;

const REQUEST_TIMEOUT_MS: Milliseconds = 10_000;

const ADAPTERS = ['t/a@1', 't/b@1', 't/c@1'] as const;

const LONG_STREAM = 'long';

async function startSession(seed: number): Promise<Session> {
  const session = new Session({ seed });
  session.startEntry(ENTRY);
  session.addEngine('e1', true);
  session.addEngine('e2', true);
  session.addService('s1');
  session.publish(1);
  await session.waitUntilReady();
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

/** Submits a completion, a request for a key, and a call for each key received so far. */
function submitRequests(session: Session, step: number): void {
  const name = `c${step}`;
  const model = ADAPTERS[step % ADAPTERS.length]!;
  const completion = {
    kind: 'completion',
    model,
    prompt: name,
    maxTokens: 2,
    priority: 0,
  } as const;
  session.submit(name, ENTRY, completion, REQUEST_TIMEOUT_MS);
  session.submit(`m${step}`, ENTRY, { kind: 'mint-key', service: SERVICE }, REQUEST_TIMEOUT_MS);
  for (const [minted, key] of [...session.keys]) {
    const body = `b${minted.slice(1)}`;
    if (!minted.startsWith('m') || session.observer.requests.has(body)) continue;
    const call = { kind: 'service-call', service: SERVICE, key, body } as const;
    session.submit(body, ENTRY, call, REQUEST_TIMEOUT_MS);
  }
}

async function generateLoad(session: Session, from: number, time: Milliseconds): Promise<number> {
  const steps = time / STEP_MS;
  for (let step = from; step < from + steps; step += 1) {
    submitRequests(session, step);
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

function firstDoneMs(
  requests: readonly ObservedRequest[],
  since: Milliseconds,
): Milliseconds | undefined {
  const ends = requests
    .filter(({ submittedAt, outcome }) => submittedAt >= since && outcome?.kind === 'done')
    .map(({ endedAt }) => endedAt ?? Infinity);
  return ends.length === 0 ? undefined : Math.min(...ends) - since;
}

function lastSubmittedMs(requests: readonly ObservedRequest[], since: Milliseconds): Milliseconds {
  return Math.max(0, ...requests.map(({ submittedAt }) => submittedAt - since));
}

/** Measures the recovery from one fault. */
export async function measureRecovery(fault: RecoveryFaultName, seed = 1): Promise<RecoveryRow> {
  const session = await startSession(seed);
  const next = await generateLoad(session, 0, LOAD_BEFORE_FAULT_MS);
  const longStream = session.observer.requests.get(LONG_STREAM)!;
  const { host, text } = longStream;
  const faultAt = session.world.clock.now();
  let resumedAt: Milliseconds | undefined;
  const injectFault: RecoveryFault = RECOVERY_FAULTS[fault];
  injectFault(session, host);
  const { length: lengthBefore } = text;
  session.onStep = () => {
    if (longStream.text.length > lengthBefore) resumedAt ??= session.world.clock.now();
  };
  await generateLoad(session, next, LOAD_AFTER_FAULT_MS);
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
    servedAgainMs: firstDoneMs(completions, faultAt),
    calledAgainMs: firstDoneMs(calls, faultAt),
    streamResumedMs: resumedAt === undefined ? undefined : resumedAt - faultAt,
    avoidedMs: lastSubmittedMs(
      completions.filter(({ outcome }) => outcome?.kind === 'unknown'),
      faultAt,
    ),
    lastNewWorkMs: lastSubmittedMs(
      completions.filter((each) => each.host === host),
      faultAt,
    ),
    completions: countOutcomes(completions),
    keyedCalls: countOutcomes(calls),
    unknownShare: unknowns.length / calls.length,
    violations: session.observer.finish(session.isRunning),
  };
}
