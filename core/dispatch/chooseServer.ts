import type { Milliseconds } from '../clock/mod.ts';
import { weightedRendezvousOrder } from '../placement/mod.ts';
import { ADAPTER_LOADS_AT_ONCE } from '../serving/mod.ts';
import type { ModelName } from '../serving/mod.ts';
import type { ServerView } from './serverView.ts';

/** Where a request goes now. */
export type Choice =
  | { readonly kind: 'send'; readonly view: ServerView; readonly replicateAt?: ServerView }
  | { readonly kind: 'load'; readonly view: ServerView }
  | {
      readonly kind: 'refuse';
      readonly reason: RefusalReason;
      readonly retryAfterMs: Milliseconds;
    };

/** Why no server can begin a request in time. */
export type RefusalReason = 'no-server' | 'servers-full' | 'no-place';

/** What is asked of the servers. */
export type ChoiceRequest = {
  /** The adapter or base model; absent on plain services. */
  readonly modelName?: ModelName;
  /** Tokens of the prompt; absent where the caller does not say. */
  readonly promptTokens?: number;
  /** The least version that may run the request. */
  readonly minVersion: number;
  /** Requests that one server runs at a time. */
  readonly batchWidth: number;
  /** How long the request may wait for an adapter. */
  readonly maxLoadWaitMs: Milliseconds;
  readonly now: Milliseconds;
  /** The entry's own zone. */
  readonly availabilityZone: string;
};

/** Time for which callers stay away when no server is listed; a server starts within seconds. */
const NO_SERVER_RETRY_MS: Milliseconds = 1000;

/** Time for which callers stay away when servers are full; a stream ends about as often. */
const FULL_RETRY_MS: Milliseconds = 500;

/** Requests for one server, in multiples of its batch width, above which it gets no more. */
const FULL_LOAD = 1.25;

/** Time of one adapter's load from the weight store when few are under way. */
const ADAPTER_LOAD_MS: Milliseconds = 250;

/** Pause, in multiples of the mean of all servers, above which a server gets no further adapter. */
const BUSY_PAUSE = 1.5;

/** Pause between pieces above which a busy server's hot adapters get another copy. */
const REPLICATE_PAUSE_MS: Milliseconds = 50;

/** The same for adapters that are not hot. */
const REPLICATE_COLD_PAUSE_MS: Milliseconds = 90;

/**
 * Power of a server's speed in its share of the adapters. Reading a prompt stops the streams of a slow
 * server for longer, so it should get less than its speed would say.
 */
const SPEED_POWER = 2;

/** Own requests for one adapter at one server that make another copy worth its load. */
const HOT_USES = 2;

/** Share of the batch width by which a load above the mean calls for another copy. */
const REPLICATE_LOAD = 0.25;

/** Extra cost, in requests, of a plain server in another zone; a crossing costs under a millisecond. */
const OTHER_ZONE_COST = 0.5;

/**
 * Prompts above this stop all streams of their server for so long that many become late: the slowest
 * servers read about twenty tokens in a millisecond, and streams may pause for a few hundred.
 */
const LONG_PROMPT_TOKENS = 4000;

/** How many times as much harm a holder may do with a long prompt before a load elsewhere is better. */
const LONG_PROMPT_PATIENCE = 1.5;

/** Requests that count as harmed beside those that run, since the prompt's own request waits as well. */
const OWN_HARM = 4;

/** The pause that the next streams of a server may expect: no shorter than usual, longer while it is busy. */
function expectedPause(view: ServerView, now: Milliseconds): Milliseconds {
  return Math.max(view.pauseMs(now), view.usualPauseMs);
}

/** Cost of one more request at a server: its pauses, longer by what it has to begin and to run. */
function costOf(view: ServerView, { batchWidth, now }: ChoiceRequest): number {
  return expectedPause(view, now) * (1 + view.starting / 2 + view.load / batchWidth);
}

/** Harm of a long prompt at a server: streams that it stops, times the time for which it stops them. */
function harmOf(view: ServerView): number {
  return (view.load + OWN_HARM) * view.usualPauseMs;
}

function cheapest(
  views: readonly ServerView[],
  cost: (view: ServerView) => number,
): ServerView | undefined {
  let best: ServerView | undefined;
  let least = Infinity;
  for (const view of views) {
    const each = cost(view);
    if (each < least) {
      best = view;
      least = each;
    }
  }
  return best;
}

/** Time until an adapter that is asked for now could serve. */
function loadWaitOf(view: ServerView): Milliseconds {
  const awaited = view.keeper?.awaited ?? 0;
  return (Math.floor(awaited / ADAPTER_LOADS_AT_ONCE) + 1) * ADAPTER_LOAD_MS;
}

/** The servers in the adapter's order, in which a server that is twice as fast wins four times as often. */
function ordered(name: ModelName, views: readonly ServerView[]): readonly ServerView[] {
  const byId = new Map(views.map((view) => [view.server.id, view]));
  const candidates = views.map((view) => ({
    name: view.server.id,
    weight: 1 / view.usualPauseMs ** SPEED_POWER,
  }));
  return weightedRendezvousOrder(name, candidates).map((id) => byId.get(id)!);
}

/**
 * The server at which an adapter is loaded: one that held it not long ago still has its weights at hand
 * and loads it at once; otherwise the first of the adapter's order, so that entries agree.
 */
function homeOf(name: ModelName, views: readonly ServerView[]): ServerView | undefined {
  const inOrder = ordered(name, views);
  return inOrder.find((view) => view.hasHeld(name)) ?? inOrder[0];
}

function meanOf(views: readonly ServerView[], value: (view: ServerView) => number): number {
  return views.reduce((sum, view) => sum + value(view), 0) / Math.max(1, views.length);
}

/**
 * Returns what a server's load means beside that of the others: on a server that is half as fast,
 * requests stay twice as long and each prompt stops the others for twice as long.
 */
function relativeLoad(views: readonly ServerView[]): (view: ServerView) => number {
  const usual = meanOf(views, (view) => view.usualPauseMs);
  return (view) => (view.load * view.usualPauseMs) / usual;
}

function mayLoad(view: ServerView, batchWidth: number): boolean {
  return view.keeper !== undefined && view.keeper.freeablePlaces > 0 && view.load < batchWidth;
}

/** Whether a server could load an adapter before the request's wait is over. */
function canLoadInTime(view: ServerView, { batchWidth, maxLoadWaitMs }: ChoiceRequest): boolean {
  return mayLoad(view, batchWidth) && loadWaitOf(view) <= maxLoadWaitMs;
}

/** Servers that may take one more adapter without falling behind the others. */
function calmOf(request: ChoiceRequest, views: readonly ServerView[]): readonly ServerView[] {
  const { batchWidth, maxLoadWaitMs, now } = request;
  const open = views.filter((view) => mayLoad(view, batchWidth));
  const loadOf = relativeLoad(open);
  const load = meanOf(open, loadOf) + REPLICATE_LOAD * batchWidth;
  const pause = meanOf(open, (view) => view.pauseMs(now)) * BUSY_PAUSE;
  return open.filter(
    (view) =>
      loadOf(view) <= load && view.pauseMs(now) <= pause && loadWaitOf(view) <= maxLoadWaitMs,
  );
}

/**
 * Chooses where an adapter that no server holds is loaded.
 *
 * Servers that are busier than the others are passed over.
 */
function chooseLoad(request: ChoiceRequest, views: readonly ServerView[]): Choice {
  const { modelName = '' } = request;
  const inTime = views.filter((view) => canLoadInTime(view, request));
  const view = homeOf(modelName, calmOf(request, views)) ?? cheapest(inTime, loadWaitOf);
  if (view !== undefined) return { kind: 'load', view };
  return { kind: 'refuse', reason: 'no-place', retryAfterMs: FULL_RETRY_MS };
}

/**
 * Chooses where a long prompt is read: where it stops the fewest streams for the shortest time, even if
 * the adapter has to be loaded there first.
 */
function chooseForLongPrompt(
  request: ChoiceRequest,
  views: readonly ServerView[],
  holders: readonly ServerView[],
): Choice | undefined {
  const holder = cheapest(holders, harmOf);
  const others = views.filter((view) => !holders.includes(view) && canLoadInTime(view, request));
  const other = cheapest(others, harmOf);
  if (other === undefined) return undefined;
  const isEnough = holder !== undefined && harmOf(holder) <= harmOf(other) * LONG_PROMPT_PATIENCE;
  return isEnough ? { kind: 'send', view: holder } : { kind: 'load', view: other };
}

/** Chooses a server for another copy of an adapter whose holders are busier than the others. */
function chooseReplica(
  request: ChoiceRequest,
  views: readonly ServerView[],
  best: ServerView,
): ServerView | undefined {
  const { modelName = '', batchWidth, minVersion, now } = request;
  const loadOf = relativeLoad(views);
  const load = meanOf(views, loadOf) + REPLICATE_LOAD * batchWidth;
  const isHot = (best.uses.get(modelName) ?? 0) >= HOT_USES;
  const pause = Math.max(
    isHot ? REPLICATE_PAUSE_MS : REPLICATE_COLD_PAUSE_MS,
    meanOf(views, (view) => view.pauseMs(now)) * BUSY_PAUSE,
  );
  if (loadOf(best) <= load && best.pauseMs(now) <= pause) return undefined;
  const others = calmOf(request, views).filter(
    (view) => !view.holds(modelName, minVersion) && costOf(view, request) < costOf(best, request),
  );
  return homeOf(modelName, others);
}

/**
 * Chooses where a request goes, or says that no server can begin it in time.
 *
 * @param request What is asked.
 * @param views The servers of the request's service that may be used.
 */
export function chooseServer(request: ChoiceRequest, views: readonly ServerView[]): Choice {
  const { modelName, minVersion } = request;
  const ready = views.filter((view) => view.isReady);
  if (ready.length === 0) {
    return { kind: 'refuse', reason: 'no-server', retryAfterMs: NO_SERVER_RETRY_MS };
  }
  const open = ready.filter((view) => view.load < view.server.slots * FULL_LOAD);
  if (open.length === 0) {
    return { kind: 'refuse', reason: 'servers-full', retryAfterMs: FULL_RETRY_MS };
  }
  if (modelName === undefined) {
    const cost = (view: ServerView): number => {
      const isNear = view.server.availabilityZone === request.availabilityZone;
      return view.firstByteMs * (1 + view.inFlight + (isNear ? 0 : OTHER_ZONE_COST));
    };
    return { kind: 'send', view: cheapest(open, cost)! };
  }
  const holders = open.filter((view) => view.holds(modelName, minVersion));
  if ((request.promptTokens ?? 0) > LONG_PROMPT_TOKENS) {
    const choice = chooseForLongPrompt(request, ready, holders);
    if (choice !== undefined) return choice;
  }
  const best = cheapest(holders, (view) => costOf(view, request));
  if (best === undefined) return chooseLoad(request, ready);
  const replicateAt = chooseReplica(request, ready, best);
  return { kind: 'send', view: best, ...(replicateAt === undefined ? {} : { replicateAt }) };
}
