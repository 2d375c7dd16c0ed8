import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { createVirtualClock } from '../../clock/mod.ts';
import type { Milliseconds } from '../../clock/mod.ts';
import { LimitRegistry, PermitHolder, PermitIssuer } from '../mod.ts';
import type { PermitAnswer, PermitRequest, Reach } from '../mod.ts';

/** A limit that the server names from a time on; `undefined` names none. */
export type LimitPhase = { readonly from: Milliseconds; readonly perSecond: number | undefined };

/** Options of `simulateLimits`. */
export type LimitSimulationOptions = {
  readonly seed: number;
  readonly entries: number;
  /** Requests for the server a second, over all entries. */
  readonly rate: number;
  readonly phases: readonly LimitPhase[];
  /** Times at which one entry starts again and has forgotten everything. @default [] */
  readonly restartsAt?: readonly Milliseconds[];
  /** Times at which one entry is paused for three seconds. @default [] */
  readonly freezesAt?: readonly Milliseconds[];
  /** When the entries are split into parts that do not hear of each other, and into how many. */
  readonly partition?: { readonly from: Milliseconds; readonly parts: number };
  /** Entries that do not answer requests for permits, such as those of an older build. @default 0 */
  readonly silentEntries?: number;
  /** Share of the requests that arrive at the first entry. @default 1 / entries */
  readonly firstEntryShare?: number;
  readonly durationMs: Milliseconds;
};

/** What a simulation has shown. */
export type LimitSimulationResult = {
  /** Times at which requests reached the server. */
  readonly arrivals: readonly Milliseconds[];
  /** Number of requests that each entry sent. */
  readonly sentByEntry: readonly number[];
  /** Most messages between entries in one second. */
  readonly maxMessagesPerSecond: number;
};

/** Time for which a request waits for a permit. */
const MAX_WAIT_MS: Milliseconds = 600;

const FREEZE_MS: Milliseconds = 3000;

/** Time until the entries notice that others are cut off. */
const REACH_DELAY_MS: Milliseconds = 3000;

/** Time for which a stopped entry is still listed by the others. */
const MEMBER_TIMEOUT_MS: Milliseconds = 20_000;

const TICK_MS: Milliseconds = 25;

const SERVER = 'i-1';

type Entry = {
  readonly index: number;
  readonly name: string;
  registry: LimitRegistry;
  holder: PermitHolder;
  issuer: PermitIssuer;
  waitingUntil: Milliseconds[];
  frozenUntil: Milliseconds;
  incarnation: number;
};

/** Simulates entries that share one server with a limit; messages and responses take random times. */
export function simulateLimits(options: LimitSimulationOptions): LimitSimulationResult {
  const { entries: entryCount, rate, phases, partition, durationMs } = options;
  const { restartsAt = [], freezesAt = [], silentEntries = 0 } = options;
  const generator = xoroshiro128plus(options.seed);
  const random = (): number => uniformFloat64(generator);
  const between = (low: number, high: number): number => low + random() * (high - low);
  const clock = createVirtualClock();
  const arrivals: Milliseconds[] = [];
  const sentByEntry = new Array<number>(entryCount).fill(0);
  const messagesBySecond = new Map<number, number>();
  const entries: Entry[] = [];

  const partOf = ({ index }: Entry): number =>
    partition !== undefined && clock.now() >= partition.from ? index % partition.parts : 0;
  const reaches = (a: Entry, b: Entry): boolean => partOf(a) === partOf(b);

  function reachOf(entry: Entry): Reach {
    const isNoticed = partition !== undefined && clock.now() >= partition.from + REACH_DELAY_MS;
    const reachable = isNoticed ? entries.filter((other) => reaches(entry, other)) : entries;
    return { known: entryCount, reachable: reachable.length };
  }

  function peersOf(entry: Entry): readonly string[] {
    const isForgotten =
      partition !== undefined && clock.now() >= partition.from + MEMBER_TIMEOUT_MS;
    return entries
      .filter((other) => other !== entry && (!isForgotten || reaches(entry, other)))
      .map(({ name }) => name);
  }

  /** Runs a call at an entry once it is not frozen, unless it has started again meanwhile. */
  function runAt(entry: Entry, run: () => void): void {
    const waitMs = entry.frozenUntil - clock.now();
    if (waitMs > 0) clock.schedule(waitMs, () => runAt(entry, run));
    else run();
  }

  function deliver(from: Entry, to: Entry, delayMs: Milliseconds, run: () => void): void {
    const second = Math.floor(clock.now() / 1000);
    messagesBySecond.set(second, (messagesBySecond.get(second) ?? 0) + 1);
    const { incarnation } = to;
    clock.schedule(from === to ? 0 : delayMs, () => {
      if (!reaches(from, to)) return;
      runAt(to, () => {
        if (to.incarnation === incarnation) run();
      });
    });
  }

  function limitAt(time: Milliseconds): number | undefined {
    return phases.filter(({ from }) => from <= time).at(-1)?.perSecond;
  }

  function send(entry: Entry): void {
    const sentAt = clock.now();
    sentByEntry[entry.index]! += 1;
    const { incarnation } = entry;
    clock.schedule(between(1, 4), () => {
      arrivals.push(clock.now());
      const perSecond = limitAt(clock.now());
      clock.schedule(between(5, 80), () =>
        runAt(entry, () => {
          if (entry.incarnation !== incarnation) return;
          const now = clock.now();
          if (perSecond === undefined) entry.registry.noteUnnamed(SERVER, sentAt, now);
          else entry.registry.noteNamed(SERVER, perSecond, sentAt, now);
        }),
      );
    });
  }

  function serveWaiting(entry: Entry): void {
    const now = clock.now();
    entry.waitingUntil = entry.waitingUntil.filter((until) => until > now);
    while (entry.waitingUntil.length > 0) {
      const isBounded = entry.registry.rateOf(SERVER, now) !== undefined;
      if (isBounded && !entry.holder.take(SERVER, now)) {
        const maxWaitMs = entry.waitingUntil[0]! - now;
        entry.holder.request(SERVER, { priority: 0, maxWaitMs }, now);
        // An issuer in the same process answers at once.
        if (!entry.holder.has(SERVER, now)) return;
        continue;
      }
      entry.waitingUntil.shift();
      send(entry);
    }
  }

  function answer(issuer: Entry, holder: Entry, reply: PermitAnswer): void {
    deliver(issuer, holder, between(1, 6), () => {
      if (holder.holder.applyAnswer(reply, clock.now())) serveWaiting(holder);
    });
  }

  function ask(entry: Entry, issuerName: string, request: PermitRequest): void {
    const issuer = entries.find(({ name }) => name === issuerName)!;
    const record = entry.registry.recordOf(SERVER, clock.now());
    deliver(entry, issuer, between(1, 6), () => {
      if (issuer.index < silentEntries) return;
      const now = clock.now();
      if (record !== undefined) issuer.registry.applyUpdate([record], now);
      answer(issuer, entry, issuer.issuer.request(entry.name, request, now));
    });
  }

  /** Spreads what an entry has learned, as gossip does. */
  function spread(entry: Entry, change: number): void {
    const records = entry.registry.updateSince(change - 1, clock.now()) ?? [];
    entries
      .filter((other) => other !== entry)
      .forEach((other) => {
        deliver(entry, other, between(25, 900), () =>
          other.registry.applyUpdate(records, clock.now()),
        );
      });
  }

  function boot(entry: Entry): void {
    entry.registry = new LimitRegistry({
      onLimit: () => undefined,
      onChange: () => spread(entry, entry.registry.change),
    });
    entry.holder = new PermitHolder({
      self: entry.name,
      peers: () => peersOf(entry),
      send: (issuer, request) => ask(entry, issuer, request),
      onSilent: () => undefined,
    });
    entry.issuer = new PermitIssuer({
      rateOf: (server, now) => entry.registry.rateOf(server, now),
      reach: () => reachOf(entry),
    });
    entry.waitingUntil = [];
    entry.incarnation += 1;
  }

  function tick(): void {
    const now = clock.now();
    entries
      .filter(({ frozenUntil }) => frozenUntil <= now)
      .forEach((entry) => {
        entry.holder.tick(now);
        entry.issuer.tick(now).forEach((grant) =>
          answer(
            entry,
            entries.find(({ name }) => name === grant.holder)!,
            grant.answer,
          ),
        );
        serveWaiting(entry);
      });
    clock.schedule(TICK_MS, tick);
  }

  function arrive(): void {
    const isFirst = random() < (options.firstEntryShare ?? 0);
    const entry = entries[isFirst ? 0 : Math.floor(random() * entryCount)]!;
    runAt(entry, () => {
      entry.waitingUntil.push(clock.now() + MAX_WAIT_MS);
      serveWaiting(entry);
    });
    clock.schedule((-Math.log(1 - random()) * 1000) / rate, arrive);
  }

  for (let index = 0; index < entryCount; index += 1) {
    const entry = { index, name: `e${index}`, frozenUntil: 0, incarnation: 0 } as Entry;
    entries.push(entry);
    boot(entry);
  }
  const anyEntry = (): Entry => entries[Math.floor(random() * entryCount)]!;
  restartsAt.forEach((at) => clock.schedule(at, () => boot(anyEntry())));
  freezesAt.forEach((at) =>
    clock.schedule(at, () => {
      anyEntry().frozenUntil = at + FREEZE_MS;
    }),
  );
  tick();
  arrive();
  while ((clock.nextDue() ?? Infinity) < durationMs) clock.runNext();
  return {
    arrivals,
    sentByEntry,
    maxMessagesPerSecond: Math.max(...messagesBySecond.values()),
  };
}
