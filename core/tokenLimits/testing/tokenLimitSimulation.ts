import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { createVirtualClock } from '../../clock/mod.ts';
import type { Milliseconds } from '../../clock/mod.ts';
import type { TokenLimit } from '../../serving/mod.ts';
import { HEARD_MAX_AGE_MS, TokenLimitHolder, TokenLimitIssuer } from '../mod.ts';
import type { FleetView, LeaseAnswer, LeaseRequest, LimitBounds, TokenDemand } from '../mod.ts';

/** A tenant with a limit, and its callers. */
export type SimulatedTenant = {
  readonly name: string;
  /** Limits in force, each from a time on; entries learn of a change within `LEARNING_MS`. */
  readonly limits: readonly { readonly from: Milliseconds; readonly limit: TokenLimit }[];
  /** Returns the tokens a second that callers ask for, over all entries. */
  readonly demandAt: (now: Milliseconds) => number;
  /** Returns the share of the demand at one entry. @default by the weights of the entries */
  readonly shareAt?: (entry: number, now: Milliseconds) => number;
  /** Tokens of each request. @default [868, 868, 2368] */
  readonly costs?: readonly number[];
  /** Share of the requests with each priority. @default [1] */
  readonly priorities?: readonly number[];
};

/** Options of `simulateTokenLimits`. */
export type TokenLimitSimulationOptions = {
  readonly seed: number;
  readonly entries: number;
  readonly bounds: LimitBounds;
  readonly tenants: readonly SimulatedTenant[];
  readonly durationMs: Milliseconds;
  /** Returns the part of a partition to which an entry belongs. @default all in one */
  readonly partAt?: (entry: number, now: Milliseconds) => number;
  /** Times at which entries end, all of them or one, and start again. @default [] */
  readonly ends?: readonly { readonly at: Milliseconds; readonly entry: number | 'all' }[];
  /** Times at which entries are frozen. @default [] */
  readonly freezes?: readonly {
    readonly at: Milliseconds;
    readonly entry: number | 'half';
    readonly durationMs: Milliseconds;
  }[];
  /** Share of the admitted requests that do not run, and that give their tokens back after a time. @default none */
  readonly notRun?: { readonly share: number; readonly afterMs: Milliseconds };
  /** Returns how long a turn of an entry's event loop takes: it handles what arrives at the end of one. @default 0 */
  readonly turnMsOf?: (entry: number) => Milliseconds;
  /** Returns the capacity of an entry's host. @default 0, unknown */
  readonly capacityOf?: (entry: number) => number;
  /** Whether refused callers come back once, when `Retry-After` says. @default false */
  readonly callersReturn?: boolean;
  /** Share of the messages that are lost. @default 0 */
  readonly lossShare?: number;
};

/** A request as the callers and the servers see it. */
export type SimulatedRequest = {
  readonly tenant: string;
  readonly entry: number;
  readonly priority: number;
  readonly tokens: number;
  readonly sentAt: Milliseconds;
  readonly isReturn: boolean;
  /** When it arrived at a server; `undefined` if it was refused or did not run. */
  arrivedAt: Milliseconds | undefined;
  /** When it was decided; `undefined` if its entry ended before. */
  decidedAt: Milliseconds | undefined;
  isAdmitted: boolean;
  retryAfterMs: Milliseconds | undefined;
};

/** What a simulation has shown. */
export type TokenLimitSimulationResult = {
  readonly requests: readonly SimulatedRequest[];
  /** Bytes of messages that each entry sent and received. */
  readonly bytesByEntry: readonly number[];
};

/** Time within which entries learn of a changed limit. */
export const LEARNING_MS: Milliseconds = 3000;

const TICK_MS: Milliseconds = 25;

const GOSSIP_MS: Milliseconds = 300;

const MAX_GOSSIP_LAG_MS: Milliseconds = 800;

const MEMBER_TIMEOUT_MS: Milliseconds = 20_000;

const RESTART_MS: Milliseconds = 700;

const MAX_WAIT_MS: Milliseconds = 1000;

/** Bytes of a request and an answer with their frames. */
const REQUEST_BYTES = 70;
const ANSWER_BYTES = 60;

const DEFAULT_COSTS = [868, 868, 2368];

type Waiting = { readonly request: SimulatedRequest; readonly until: Milliseconds };

type Entry = {
  readonly index: number;
  readonly name: string;
  readonly weight: number;
  readonly learnsAfterMs: Milliseconds;
  readonly lastHeard: Milliseconds[];
  holder: TokenLimitHolder;
  issuer: TokenLimitIssuer;
  view: FleetView;
  waiting: Waiting[];
  frozenUntil: Milliseconds;
  downUntil: Milliseconds;
  incarnation: number;
};

/** Simulates entries that share the limits of tenants; messages take random times and gossip lags. */
export function simulateTokenLimits(
  options: TokenLimitSimulationOptions,
): TokenLimitSimulationResult {
  const { entries: entryCount, tenants, bounds, durationMs, partAt = () => 0 } = options;
  const { ends = [], freezes = [], notRun, callersReturn = false, lossShare = 0 } = options;
  const { turnMsOf = () => 0, capacityOf = () => 0 } = options;
  const generator = xoroshiro128plus(options.seed);
  const random = (): number => uniformFloat64(generator);
  const between = (low: number, high: number): number => low + random() * (high - low);
  const clock = createVirtualClock();
  const requests: SimulatedRequest[] = [];
  const entries: Entry[] = [];
  const byName = new Map<string, Entry>();
  const tenantsByName = new Map(tenants.map((tenant) => [tenant.name, tenant]));
  const bytesByEntry = new Array<number>(entryCount).fill(0);

  const isUp = (entry: Entry): boolean => entry.downUntil <= clock.now();
  const reaches = (a: Entry, b: Entry): boolean =>
    partAt(a.index, clock.now()) === partAt(b.index, clock.now());

  /** Runs a call at an entry once it is not frozen, unless it has started again meanwhile. */
  function runAt(entry: Entry, run: () => void, incarnation = entry.incarnation): void {
    if (!isUp(entry) || entry.incarnation !== incarnation) return;
    const waitMs = entry.frozenUntil - clock.now();
    if (waitMs > 0) clock.schedule(waitMs, () => runAt(entry, run, incarnation));
    else run();
  }

  /** Returns the time until an entry handles what arrives now. */
  function waitForTurn({ index }: Entry): Milliseconds {
    const turnMs = turnMsOf(index);
    return turnMs === 0 ? 0 : turnMs - (clock.now() % turnMs);
  }

  function deliver(from: Entry, to: Entry, bytes: number, run: () => void): void {
    if (from === to) {
      run();
      return;
    }
    bytesByEntry[from.index]! += bytes;
    bytesByEntry[to.index]! += bytes;
    if (random() < lossShare) return;
    clock.schedule(between(0.5, 4), () => {
      if (!reaches(from, to)) return;
      const { incarnation } = to;
      clock.schedule(waitForTurn(to), () => runAt(to, run, incarnation));
    });
  }

  function limitFor(entry: Entry, tenant: string): TokenLimit {
    const { limits } = tenantsByName.get(tenant)!;
    const known = limits.filter(({ from }) => from + entry.learnsAfterMs <= clock.now());
    return (known.at(-1) ?? limits[0]!).limit;
  }

  function demandOf(entry: Entry, { tenant, tokens, priority }: SimulatedRequest): TokenDemand {
    return { tenant, limit: limitFor(entry, tenant), tokens, priority };
  }

  /* eslint-disable @typescript-eslint/no-use-before-define -- refused callers send again */
  function retryWaiting(entry: Entry, tenant: string): void {
    const waiting = entry.waiting.filter(({ request }) => request.tenant === tenant);
    entry.waiting = entry.waiting.filter(({ request }) => request.tenant !== tenant);
    waiting
      .sort((a, b) => a.request.priority - b.request.priority)
      .forEach(({ request, until }) => decide(entry, request, until, true));
  }

  function arrive(entry: Entry, request: SimulatedRequest): void {
    const { tenant, tokens } = request;
    const isNotRun = notRun !== undefined && random() < notRun.share;
    const spentAt = clock.now();
    if (isNotRun) {
      clock.schedule(notRun.afterMs, () =>
        runAt(entry, () => entry.holder.giveBack(tenant, tokens, spentAt, clock.now())),
      );
      return;
    }
    clock.schedule(between(0.5, 3), () => {
      request.arrivedAt = clock.now();
    });
  }

  function refuse(request: SimulatedRequest, retryAfterMs: Milliseconds): void {
    request.decidedAt = clock.now();
    request.retryAfterMs = retryAfterMs;
    if (!callersReturn || request.isReturn) return;
    const jitteredMs = retryAfterMs * (1 + random() / 2);
    clock.schedule(jitteredMs, () => send(request.entry, { ...request, isReturn: true }));
  }

  function decide(
    entry: Entry,
    request: SimulatedRequest,
    until: Milliseconds,
    isRepeated = false,
  ): void {
    const now = clock.now();
    const demand = { ...demandOf(entry, request), isRepeated };
    const decision = entry.holder.take(demand, now);
    if (decision.kind === 'admitted') {
      request.decidedAt = now;
      request.isAdmitted = true;
      arrive(entry, request);
    } else if (decision.kind === 'refused') {
      refuse(request, decision.retryAfterMs);
    } else if (now >= until) {
      refuse(request, entry.holder.refuseWaiting(demand, now).retryAfterMs);
    } else {
      entry.waiting.push({ request, until });
    }
  }

  function send(
    index: number,
    sent: Pick<SimulatedRequest, 'tenant' | 'priority' | 'tokens'> & { isReturn: boolean },
  ): void {
    const entry = entries[index]!;
    const request: SimulatedRequest = {
      ...sent,
      entry: index,
      sentAt: clock.now(),
      arrivedAt: undefined,
      decidedAt: undefined,
      isAdmitted: false,
      retryAfterMs: undefined,
    };
    requests.push(request);
    const { incarnation } = entry;
    clock.schedule(waitForTurn(entry), () =>
      runAt(entry, () => decide(entry, request, clock.now() + MAX_WAIT_MS), incarnation),
    );
  }

  /* eslint-enable @typescript-eslint/no-use-before-define */

  function answer(issuer: Entry, holder: Entry, reply: LeaseAnswer): void {
    deliver(issuer, holder, ANSWER_BYTES, () => {
      if (holder.holder.applyAnswer(reply, clock.now())) retryWaiting(holder, reply.tenant);
    });
  }

  function ask(entry: Entry, issuerName: string, request: LeaseRequest): void {
    const issuer = byName.get(issuerName)!;
    deliver(entry, issuer, REQUEST_BYTES, () =>
      answer(issuer, entry, issuer.issuer.request(entry.name, request, clock.now())),
    );
  }

  function boot(entry: Entry): void {
    entry.incarnation += 1;
    entry.waiting = [];
    entry.view = { known: [], heard: [] };
    entry.lastHeard.fill(-Infinity);
    entry.holder = new TokenLimitHolder({
      self: entry.name,
      bounds,
      peers: () => entry.view.heard,
      capacityOf: (name) => capacityOf(byName.get(name)!.index),
      send: (issuer, request) => ask(entry, issuer, request),
      onSilent: () => undefined,
    });
    entry.issuer = new TokenLimitIssuer({
      self: entry.name,
      startedAt: clock.now(),
      bounds,
      limitOf: (tenant) => limitFor(entry, tenant),
      fleet: () => entry.view,
      capacityOf: (name) => capacityOf(byName.get(name)!.index),
      minKnown: Math.min(entryCount, 4),
    });
  }

  function gossip(): void {
    const now = clock.now();
    const live = entries.filter((entry) => isUp(entry) && entry.frozenUntil <= now);
    live.forEach((entry) => {
      live.forEach((other) => {
        if (other === entry || !reaches(entry, other)) return;
        const at = now - between(0, MAX_GOSSIP_LAG_MS);
        if (at > entry.lastHeard[other.index]!) entry.lastHeard[other.index] = at;
      });
      const within = (ageMs: Milliseconds): readonly string[] =>
        entries
          .filter(({ index }) => index !== entry.index && entry.lastHeard[index]! >= now - ageMs)
          .map(({ name }) => name);
      entry.view = { known: within(MEMBER_TIMEOUT_MS), heard: within(HEARD_MAX_AGE_MS) };
    });
    clock.schedule(GOSSIP_MS, gossip);
  }

  function tick(): void {
    const now = clock.now();
    entries.forEach((entry) => {
      const isInTurn = waitForTurn(entry) > TICK_MS;
      if (!isUp(entry) || entry.frozenUntil > now || isInTurn) return;
      entry.issuer.tick(now);
      entry.holder.tick(now).forEach((tenant) => retryWaiting(entry, tenant));
    });
    clock.schedule(TICK_MS, tick);
  }

  function end(entry: Entry): void {
    entry.downUntil = clock.now() + RESTART_MS;
    clock.schedule(RESTART_MS, () => boot(entry));
  }

  function startCallers(tenant: SimulatedTenant): void {
    const { costs = DEFAULT_COSTS, priorities = [1], demandAt, shareAt } = tenant;
    const meanCost = costs.reduce((sum, cost) => sum + cost, 0) / costs.length;
    const pick = (weights: readonly number[]): number => {
      let point = random() * weights.reduce((sum, weight) => sum + weight, 0);
      const index = weights.findIndex((weight) => {
        point -= weight;
        return point < 0;
      });
      return Math.max(0, index);
    };
    const next = (): void => {
      const now = clock.now();
      const demand = demandAt(now);
      if (demand <= 0) {
        clock.schedule(TICK_MS, next);
        return;
      }
      const entry = pick(entries.map(({ index, weight }) => shareAt?.(index, now) ?? weight));
      send(entry, {
        tenant: tenant.name,
        tokens: costs[Math.floor(random() * costs.length)]!,
        priority: pick(priorities),
        isReturn: false,
      });
      const perMs = demand / meanCost / 1000;
      clock.schedule(-Math.log(1 - random()) / perMs, next);
    };
    next();
  }

  for (let index = 0; index < entryCount; index += 1) {
    const entry = {
      index,
      name: `10.0.0.${index}:7001`,
      // From a fifth of a core to 1.35.
      weight: between(0.184, 1.35),
      learnsAfterMs: between(0, LEARNING_MS),
      lastHeard: new Array<Milliseconds>(entryCount).fill(-Infinity),
      frozenUntil: 0,
      downUntil: 0,
      incarnation: 0,
    } as unknown as Entry;
    entries.push(entry);
    byName.set(entry.name, entry);
    boot(entry);
  }
  ends.forEach(({ at, entry }) =>
    clock.schedule(at, () =>
      (entry === 'all' ? entries : [entries[entry]!]).forEach((each) => end(each)),
    ),
  );
  freezes.forEach(({ at, entry, durationMs: frozenMs }) =>
    clock.schedule(at, () =>
      entries
        .filter(({ index }) => (entry === 'half' ? index % 2 === 0 : index === entry))
        .forEach((each) => {
          each.frozenUntil = clock.now() + frozenMs;
        }),
    ),
  );
  gossip();
  tick();
  tenants.forEach((tenant) => startCallers(tenant));
  while ((clock.nextDue() ?? Infinity) < durationMs) clock.runNext();
  return { requests, bytesByEntry };
}
