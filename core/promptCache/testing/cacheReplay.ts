import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { Milliseconds } from '../../clock/mod.ts';
import { chooseOfTwo, expectedCompletionMs } from '../../serverRoom/mod.ts';
import type { ServerRoom } from '../../serverRoom/mod.ts';
import { PromptCacheBelief, promptPrefix } from '../mod.ts';
import type { PromptPrefix } from '../mod.ts';

/** What the choice of a server knows of the parts that the servers hold. */
export type Knowledge = 'none' | 'own-sends' | 'full';

/** A load of prompts, replayed against simulated servers. */
export type CacheReplay = {
  readonly knowledge: Knowledge;
  readonly seed: number;
  /** @default 8 */
  readonly entries?: number;
  /** @default 8 */
  readonly servers?: number;
  /** Requests a second over all servers. @default 60 */
  readonly perSecond?: number;
  /** Distinct shared prefixes. @default 40 */
  readonly prefixes?: number;
  /** Share of the requests that have the most frequent prefix. @default 0.05 */
  readonly hotShare?: number;
  /** Share of the requests that continue a session. @default 0.3 */
  readonly sessionShare?: number;
  /** Memory of a server. @default 134000 */
  readonly memoryTokens?: number;
  /** When a quarter of the servers start again, empty. @default never */
  readonly restartAt?: Milliseconds;
};

/** What a replay measured. */
export type CacheReplayResult = {
  readonly prefilledTokens: number;
  readonly firstEventP50Ms: Milliseconds;
  readonly firstEventP95Ms: Milliseconds;
  /** Requests of the server with the most, relative to the mean. */
  readonly skew: number;
};

const DURATION_MS: Milliseconds = 60_000;

/** Time at the start that is not measured, while the servers' memories are still empty. */
const WARM_UP_MS: Milliseconds = 10_000;

const PROMPT_TOKENS_PER_MS = 29.4;

const TOKEN_MS: Milliseconds = 5.5;

const OUTPUT_TOKENS = 294;

const SLOTS = 64;

const VERSION = 1;

const MODEL = 'm/a1';

type Server = {
  id: string;
  bornAt: number;
  freeAt: Milliseconds;
  ends: Milliseconds[];
  /** Tokens by key of the parts held, the least recently used first. */
  held: Map<number, number>;
  requests: number;
};

function percentile(sorted: readonly number[], share: number): number {
  return sorted[Math.floor((sorted.length - 1) * share)] ?? 0;
}

function leadingTokens(held: ReadonlyMap<number, number>, { keys, tokens }: PromptPrefix): number {
  let sum = 0;
  for (const [index, key] of keys.entries()) {
    if (!held.has(key)) break;
    sum += tokens[index]!;
  }
  return sum;
}

/** Adds the parts of a prompt to a server's memory, and evicts the least recently used ones. */
function holdParts(held: Map<number, number>, prefix: PromptPrefix, capacityTokens: number): void {
  for (let index = prefix.keys.length - 1; index >= 0; index -= 1) {
    held.delete(prefix.keys[index]!);
    held.set(prefix.keys[index]!, prefix.tokens[index]!);
  }
  let total = [...held.values()].reduce((sum, tokens) => sum + tokens, 0);
  for (const [key, tokens] of held) {
    if (total <= capacityTokens) return;
    held.delete(key);
    total -= tokens;
  }
}

/** Replays a load and returns what it measured. */
export function replayCache(replay: CacheReplay): CacheReplayResult {
  const { entries = 8, servers: serverCount = 8, perSecond = 60, prefixes = 40 } = replay;
  const { hotShare = 0.05, sessionShare = 0.3, memoryTokens = 134_000, restartAt } = replay;
  // Two generators, so that all kinds of knowledge replay the same requests.
  const load = xoroshiro128plus(replay.seed);
  const draws = xoroshiro128plus(replay.seed + 1);
  const next = (): number => uniformFloat64(load);
  const random = (): number => uniformFloat64(draws);
  const servers: Server[] = Array.from({ length: serverCount }, (_, index) => ({
    id: `s${index}`,
    bornAt: 0,
    freeAt: 0,
    ends: [],
    held: new Map(),
    requests: 0,
  }));
  const beliefs = Array.from({ length: entries }, () => new PromptCacheBelief());
  const sessions: string[][] = [];
  const firstEvents: number[] = [];
  let prefilledTokens = 0;
  let isRestarted = false;
  let requestNumber = 0;
  for (let now = 0; now < DURATION_MS; now += (-Math.log(1 - next()) * 1000) / perSecond) {
    const time = now;
    if (restartAt !== undefined && time >= restartAt && !isRestarted) {
      isRestarted = true;
      servers.slice(0, Math.ceil(serverCount / 4)).forEach((server) => {
        server.bornAt = time;
        server.held = new Map();
      });
    }
    requestNumber += 1;
    const isHot = next() < hotShare;
    const shared = `p${isHot ? 0 : Math.floor(next() ** 2 * prefixes)}`;
    const continues = next() < sessionShare && sessions.length > 0;
    const ids = continues
      ? [...sessions[Math.floor(next() * sessions.length)]!, `r${requestNumber}`]
      : [shared, `${shared}-${Math.floor(next() * 3)}`, `r${requestNumber}`];
    const tokens = ids.map((_id, index) => [400, 250, 176][index] ?? 120);
    if (!continues || ids.length < 6) sessions.push(ids);
    if (sessions.length > 60) sessions.shift();
    const prefix = promptPrefix(MODEL, ids, tokens);
    const promptTokens = tokens.reduce((sum, count) => sum + count, 0);
    const belief = beliefs[Math.floor(next() * entries)]!;
    const roomOf = (server: Server): ServerRoom => ({
      slots: SLOTS,
      requests: server.ends.length,
      promptTokens: Math.max(0, server.freeAt - time) * PROMPT_TOKENS_PER_MS,
      promptTokensPerMs: PROMPT_TOKENS_PER_MS,
      memoryTokens,
      committedTokens: server.ends.length * (promptTokens + OUTPUT_TOKENS),
      serviceMs: OUTPUT_TOKENS * TOKEN_MS,
      tokenMs: TOKEN_MS * (0.7 + (0.6 * server.ends.length) / SLOTS),
      slownessMs: 0,
    });
    servers.forEach((server) => {
      server.ends = server.ends.filter((end) => end > time);
    });
    const likely = PromptCacheBelief.likelyTokens(
      prefix,
      servers.map(({ id }) => id),
    );
    const savings: Record<Knowledge, (server: Server) => number> = {
      none: () => 0,
      'own-sends': (server) =>
        Math.max(
          belief.heldTokens(server, VERSION, prefix, time).tokens,
          likely.get(server.id) ?? 0,
        ),
      full: (server) => leadingTokens(server.held, prefix),
    };
    const cost = (server: Server): number =>
      expectedCompletionMs(roomOf(server), {
        promptTokens: promptTokens - savings[replay.knowledge](server),
        outputTokens: OUTPUT_TOKENS,
      });
    const server = chooseOfTwo(servers, cost, random)!;
    const room = roomOf(server);
    const capacityTokens = Math.max(0, memoryTokens - room.committedTokens);
    const missing = promptTokens - leadingTokens(server.held, prefix);
    const firstEventAt = Math.max(time, server.freeAt) + missing / PROMPT_TOKENS_PER_MS;
    holdParts(server.held, prefix, capacityTokens);
    belief.noteSent(server, VERSION, prefix, capacityTokens / entries, time);
    server.freeAt = firstEventAt;
    server.ends.push(firstEventAt + OUTPUT_TOKENS * room.tokenMs);
    if (time >= WARM_UP_MS) {
      server.requests += 1;
      prefilledTokens += missing;
      firstEvents.push(firstEventAt - time);
    }
  }
  firstEvents.sort((a, b) => a - b);
  const total = servers.reduce((sum, { requests }) => sum + requests, 0);
  return {
    prefilledTokens,
    firstEventP50Ms: percentile(firstEvents, 0.5),
    firstEventP95Ms: percentile(firstEvents, 0.95),
    skew: (Math.max(...servers.map(({ requests }) => requests)) * serverCount) / total,
  };
}
