import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { Milliseconds } from '../../../core/clock/mod.ts';
import { hasPrefillCapacity, PrefillLoad } from '../../../core/requestQueue/mod.ts';

/** Options of `replayPrefill`. */
export type PrefillReplayOptions = {
  /** Whether streams are held and placed by outstanding prefill; otherwise by the number of requests. */
  readonly isPaced: boolean;
  /** Streams per second for each server. */
  readonly streamsPerSecond: number;
  readonly seed: number;
};

/** What a replay measured. */
export type PrefillReplayResult = {
  readonly streams: number;
  /** Streams whose first event or any later one was late. */
  readonly late: number;
};

/** An engine as measured on the second deployment: one step decodes a token of each stream. */
const ENGINE = {
  servers: 6,
  slots: 48,
  stepMs: 5.2,
  tokensPerEvent: 7,
  prefillTokensPerMs: 38,
  chunkTokens: 2048,
} as const;

const MAX_PAUSE_MS: Milliseconds = 300;

/** Classes by their share of the requests, prompt, events and objective. */
const CLASSES = [
  { share: 0.74, promptTokens: 826, events: 42, objectiveMs: 601 },
  { share: 0.1, promptTokens: 826, events: 42, objectiveMs: 1001 },
  { share: 0.16, promptTokens: 2368, events: 3, objectiveMs: 802 },
] as const;

const DURATION_MS: Milliseconds = 15_000;

type Stream = {
  readonly arrivedAt: Milliseconds;
  readonly promptTokens: number;
  readonly objectiveMs: Milliseconds;
  leftToPrefill: number;
  tokensLeft: number;
  /** Tokens decoded since the last event. */
  pending: number;
  lastEventAt: Milliseconds | undefined;
  isLate: boolean;
};

type Engine = {
  readonly id: string;
  readonly prefilling: Stream[];
  readonly decoding: Set<Stream>;
  nextStepAt: Milliseconds;
  /** Prefill of the step that is under way, and its end is `nextStepAt`. */
  step: (() => void) | undefined;
};

function arrivalsOf({ seed, streamsPerSecond }: PrefillReplayOptions): readonly Stream[] {
  const generator = xoroshiro128plus(seed);
  const random = (): number => uniformFloat64(generator);
  const perMs = (streamsPerSecond * ENGINE.servers) / 1000;
  const streams: Stream[] = [];
  for (let at = 0; at < DURATION_MS; at += -Math.log(1 - random()) / perMs) {
    let point = random();
    const found = CLASSES.find(({ share }) => {
      point -= share;
      return point < 0;
    });
    const { promptTokens, events, objectiveMs } = found ?? CLASSES[0];
    streams.push({
      arrivedAt: at,
      promptTokens,
      objectiveMs,
      leftToPrefill: promptTokens,
      tokensLeft: events * ENGINE.tokensPerEvent,
      pending: 0,
      lastEventAt: undefined,
      isLate: false,
    });
  }
  return streams;
}

/** Replays streams on engines whose prefill chunks lengthen the steps of the streams beside them. */
export function replayPrefill(options: PrefillReplayOptions): PrefillReplayResult {
  const arrivals = arrivalsOf(options);
  const load = new PrefillLoad<Stream>();
  const engines: readonly Engine[] = Array.from({ length: ENGINE.servers }, (_, index) => ({
    id: `i-${index}`,
    prefilling: [],
    decoding: new Set(),
    nextStepAt: 0,
    step: undefined,
  }));

  function sizeOf({ prefilling, decoding }: Engine): number {
    return prefilling.length + decoding.size;
  }

  function emit(stream: Stream, now: Milliseconds): void {
    if (stream.lastEventAt === undefined) {
      if (now - stream.arrivedAt > stream.objectiveMs) stream.isLate = true;
      load.noteFirstEvent(stream, now);
    } else if (now - stream.lastEventAt > MAX_PAUSE_MS) {
      stream.isLate = true;
    }
    stream.lastEventAt = now;
    stream.pending = 0;
  }

  /** Starts a step: a chunk of prompts, and a token of each stream that decodes. */
  function startStep(engine: Engine, now: Milliseconds): void {
    let chunk: number = ENGINE.chunkTokens;
    const parts: { readonly stream: Stream; readonly tokens: number }[] = [];
    for (const stream of engine.prefilling) {
      if (chunk <= 0) break;
      const tokens = Math.min(chunk, stream.leftToPrefill);
      parts.push({ stream, tokens });
      chunk -= tokens;
    }
    const prefilled = ENGINE.chunkTokens - chunk;
    const decoded = [...engine.decoding];
    engine.nextStepAt = now + ENGINE.stepMs + prefilled / ENGINE.prefillTokensPerMs;
    engine.step = () => {
      const endedAt = engine.nextStepAt;
      decoded.forEach((stream) => {
        stream.tokensLeft -= 1;
        stream.pending += 1;
        if (stream.pending === ENGINE.tokensPerEvent) emit(stream, endedAt);
        if (stream.tokensLeft === 0) engine.decoding.delete(stream);
      });
      parts.forEach(({ stream, tokens }) => {
        stream.leftToPrefill -= tokens;
        if (stream.leftToPrefill > 0) return;
        engine.prefilling.splice(engine.prefilling.indexOf(stream), 1);
        engine.decoding.add(stream);
      });
    };
  }

  function place(stream: Stream, now: Milliseconds): boolean {
    const roomy = engines.filter((engine) => sizeOf(engine) < ENGINE.slots);
    const needed = {
      promptTokens: stream.promptTokens,
      isStream: true,
      maxPauseMs: MAX_PAUSE_MS,
      // The first event comes some 100 ms after the request is sent.
      paceUntil: stream.arrivedAt + stream.objectiveMs - 100,
    };
    const open = options.isPaced
      ? roomy.filter(({ id }) => {
          const ownMs = load.prefillMs(id, stream.promptTokens);
          return hasPrefillCapacity(needed, load.outstandingMs(id), ownMs, now);
        })
      : roomy;
    const cost = (engine: Engine): number =>
      sizeOf(engine) + (options.isPaced ? load.outstandingMs(engine.id) : 0);
    const [best] = [...open].sort((a, b) => cost(a) - cost(b));
    if (best === undefined) return false;
    best.prefilling.push(stream);
    const { promptTokens } = stream;
    load.noteSent(stream, { serverId: best.id, promptTokens, firstEventMs: 40 }, now);
    if (best.step === undefined) startStep(best, now);
    return true;
  }

  let waiting: Stream[] = [];
  const pending = [...arrivals].reverse();
  for (;;) {
    const running = engines.filter(({ step }) => step !== undefined);
    const nextArrival = pending.at(-1)?.arrivedAt ?? Infinity;
    const nextStep = Math.min(...running.map(({ nextStepAt }) => nextStepAt));
    const now = Math.min(nextArrival, nextStep);
    if (!Number.isFinite(now)) break;
    if (nextArrival <= nextStep) waiting.push(pending.pop()!);
    running
      .filter(({ nextStepAt }) => nextStepAt <= now)
      .forEach((engine) => {
        engine.step!();
        engine.step = undefined;
        if (sizeOf(engine) > 0) startStep(engine, now);
      });
    waiting = waiting.filter((stream) => !place(stream, now));
  }
  const late = arrivals.filter(({ isLate, tokensLeft }) => isLate || tokensLeft > 0).length;
  return { streams: arrivals.length, late };
}
