import type { Milliseconds } from '../clock/mod.ts';
import { weightedRendezvousOrder } from '../placement/mod.ts';
import { MAX_CONCURRENT_ADAPTER_LOADS } from '../serving/mod.ts';
import type { ModelName } from '../serving/mod.ts';
import type { ServerView } from './serverView.ts';

/**
 * What to do with a request: send it to a server, load its adapter on a server first, wait until one of
 * some servers with a limit takes it, or refuse it.
 *
 * `replicaTarget` names a server that should load a further copy of the adapter meanwhile.
 */
export type ServerChoice =
  | { readonly kind: 'send'; readonly view: ServerView; readonly replicaTarget?: ServerView }
  | { readonly kind: 'load'; readonly view: ServerView }
  /** Chosen by the admission queue where a deployment uses it. */
  | { readonly kind: 'wait'; readonly reason: WaitReason }
  | {
      readonly kind: 'await-permit';
      readonly views: readonly ServerView[];
      /** Whether another choice is left if no permit comes at once. */
      readonly isBrief: boolean;
    }
  | {
      readonly kind: 'refuse';
      readonly reason: RefusalReason;
      readonly retryAfterMs: Milliseconds;
    };

/** Why no server can start a request in time. */
export type RefusalReason = 'no-server' | 'servers-full' | 'no-place';

/** Why a request waits in the admission queue. */
export type WaitReason =
  | Exclude<RefusalReason, 'no-server'>
  /** Its prefill would stall the streams of each server that it could start on. */
  | 'prefill'
  /** Others wait already. */
  | 'others-first';

/** The servers that take only so many requests a second, by id. */
export type LimitedServers = {
  readonly named: ReadonlySet<string>;
  /** Those of them that take a request now. */
  readonly permitted: ReadonlySet<string>;
  /** Those of these that must be asked again, since only a response tells that the limit has ended. */
  readonly unconfirmed: ReadonlySet<string>;
  /** Those of the others for which a permit may come at any moment. */
  readonly imminent: ReadonlySet<string>;
};

/** What the choice of a server depends on. */
export type ServerChoiceRequest = {
  /** The adapter or base model; absent for services without models. */
  readonly modelName?: ModelName;
  /** Tokens in the prompt; absent if the caller does not declare them. */
  readonly promptTokens?: number;
  /** The oldest model version that may run the request. */
  readonly minVersion: number;
  /** Requests that one server runs concurrently. */
  readonly batchWidth: number;
  /** The longest time that the request may wait for its adapter to load. */
  readonly maxLoadWaitMs: Milliseconds;
  readonly now: Milliseconds;
  /** The availability zone of this entry. */
  readonly availabilityZone: string;
  /**
   * Chooses among servers that may serve the request at once, by what all entries have sent them.
   *
   * @default by this entry's requests and the keepers' last reports
   */
  readonly pick?: (views: readonly ServerView[]) => ServerView | undefined;
  /** @default none */
  readonly limited?: LimitedServers;
  /** Returns the time for the prefill that a server already has to do. @default unknown */
  readonly prefillMsOf?: (view: ServerView) => Milliseconds;
};

/** Retry delay for callers when no server is ready; a server starts within seconds. */
const NO_SERVER_RETRY_AFTER_MS: Milliseconds = 1000;

/** Retry delay for callers when all servers are full; about the interval between two stream ends. */
const OVERLOAD_RETRY_AFTER_MS: Milliseconds = 500;

/** Requests per slot at which a server gets no more. */
const MAX_REQUESTS_PER_SLOT = 1.25;

/** Time to load one adapter from the weight store while few loads are in progress. */
const ADAPTER_LOAD_MS: Milliseconds = 250;

/**
 * Mean pause between the chunks of a stream, relative to the mean of all servers, above which a server
 * counts as overloaded.
 */
const MAX_PAUSE_RATIO = 1.5;

/** Mean pause of a server above which its hot adapters are replicated. */
const HOT_REPLICATION_PAUSE_MS: Milliseconds = 50;

/** Mean pause of a server above which its other adapters are replicated. */
const COLD_REPLICATION_PAUSE_MS: Milliseconds = 90;

/**
 * Exponent of a server's speed in its rendezvous weight. Prefill stalls the streams of a slow server for
 * longer, so its share of the adapters is less than proportional to its speed.
 */
const SPEED_WEIGHT_EXPONENT = 2;

/** Requests of this entry in flight for an adapter on one server from which the adapter is hot. */
const HOT_ADAPTER_REQUESTS = 2;

/** Load above the mean, as a share of the batch width, above which a server counts as overloaded. */
const MAX_EXCESS_LOAD = 0.25;

/** Cost of another availability zone, in requests; crossing zones takes less than a millisecond. */
const CROSS_ZONE_COST = 0.5;

/**
 * Prompt length above which prefill stalls the server's streams so long that many miss their objective:
 * the slowest servers process about 20 tokens a millisecond, and streams may pause for a few hundred
 * milliseconds.
 */
const LONG_PROMPT_TOKENS = 4000;

/** Stall cost of a holder, relative to the best other server, above which that server loads the adapter. */
const MAX_STALL_COST_RATIO = 1.5;

/** Weight, in requests, of the new request in the stall cost, since it waits for its prefill as well. */
const OWN_REQUEST_STALL_WEIGHT = 4;

/** Whether a server takes only so many requests a second. */
function isLimited({ limited }: ServerChoiceRequest, { server }: ServerView): boolean {
  return limited !== undefined && limited.named.has(server.id);
}

/** Whether a server takes a request now, as far as its limit is concerned. */
function isOpen(request: ServerChoiceRequest, view: ServerView): boolean {
  return !isLimited(request, view) || request.limited!.permitted.has(view.server.id);
}

/** The servers whose limit is to be confirmed, or all if there are none. */
function preferUnconfirmed(
  { limited }: ServerChoiceRequest,
  views: readonly ServerView[],
): readonly ServerView[] {
  const unconfirmed = views.filter(({ server }) => limited?.unconfirmed.has(server.id));
  return unconfirmed.length > 0 ? unconfirmed : views;
}

/** The mean pause to expect in new streams of a server: at least the usual one, longer under load. */
function expectedPauseMs(view: ServerView, now: Milliseconds): Milliseconds {
  return Math.max(view.pauseMs(now), view.usualPauseMs);
}

/** Cost of one more request on a server: the expected pause, raised by its load and starting requests. */
function requestCost(view: ServerView, request: ServerChoiceRequest): number {
  const { batchWidth, now, prefillMsOf } = request;
  const stepsMs =
    expectedPauseMs(view, now) * (1 + view.awaitingFirstByte / 2 + view.load / batchWidth);
  return stepsMs + (prefillMsOf?.(view) ?? 0);
}

/** Cost of the prefill of a long prompt: the streams that it stalls, times the server's usual pause. */
function prefillStallCost(view: ServerView): number {
  return (view.load + OWN_REQUEST_STALL_WEIGHT) * view.usualPauseMs;
}

function lowestCostView(
  views: readonly ServerView[],
  cost: (view: ServerView) => number,
): ServerView | undefined {
  let best: ServerView | undefined;
  let lowestCost = Infinity;
  for (const view of views) {
    const viewCost = cost(view);
    if (viewCost < lowestCost) {
      best = view;
      lowestCost = viewCost;
    }
  }
  return best;
}

/** Estimated time until an adapter that is requested now is loaded. */
function adapterLoadWaitMs(view: ServerView): Milliseconds {
  const awaited = view.keeper?.awaited ?? 0;
  return (Math.floor(awaited / MAX_CONCURRENT_ADAPTER_LOADS) + 1) * ADAPTER_LOAD_MS;
}

/** The servers in rendezvous order for an adapter; a server that is twice as fast has 4 times the weight. */
function rendezvousOrder(name: ModelName, views: readonly ServerView[]): readonly ServerView[] {
  const byId = new Map(views.map((view) => [view.server.id, view]));
  const candidates = views.map((view) => ({
    name: view.server.id,
    weight: 1 / view.usualPauseMs ** SPEED_WEIGHT_EXPONENT,
  }));
  return weightedRendezvousOrder(name, candidates).map((id) => byId.get(id)!);
}

/**
 * The preferred server for loading an adapter: one that held it recently and still caches its weights, or
 * else the first in rendezvous order, so that all entries choose the same server.
 */
function preferredLoadTarget(
  name: ModelName,
  views: readonly ServerView[],
): ServerView | undefined {
  const ordered = rendezvousOrder(name, views);
  return ordered.find((view) => view.hasRecentlyHeld(name)) ?? ordered[0];
}

function meanOf(views: readonly ServerView[], value: (view: ServerView) => number): number {
  return views.reduce((sum, view) => sum + value(view), 0) / Math.max(1, views.length);
}

/**
 * Returns a function that scales a server's load by its usual pause relative to the mean: on a server that
 * is half as fast, requests run twice as long and each prefill stalls the others for twice as long.
 */
function speedAdjustedLoad(views: readonly ServerView[]): (view: ServerView) => number {
  const meanPauseMs = meanOf(views, (view) => view.usualPauseMs);
  return (view) => (view.load * view.usualPauseMs) / meanPauseMs;
}

function hasAdapterCapacity(view: ServerView, batchWidth: number): boolean {
  return view.keeper !== undefined && view.keeper.freeablePlaces > 0 && view.load < batchWidth;
}

/** Whether a server can load an adapter within the longest wait of the request. */
function canLoadInTime(
  view: ServerView,
  { batchWidth, maxLoadWaitMs }: ServerChoiceRequest,
): boolean {
  return hasAdapterCapacity(view, batchWidth) && adapterLoadWaitMs(view) <= maxLoadWaitMs;
}

/** Servers that can load one more adapter in time and are not overloaded relative to the others. */
function underloadedServers(
  request: ServerChoiceRequest,
  views: readonly ServerView[],
): readonly ServerView[] {
  const { batchWidth, maxLoadWaitMs, now } = request;
  const candidates = views.filter((view) => hasAdapterCapacity(view, batchWidth));
  const loadOf = speedAdjustedLoad(candidates);
  const maxLoad = meanOf(candidates, loadOf) + MAX_EXCESS_LOAD * batchWidth;
  const maxPauseMs = meanOf(candidates, (view) => view.pauseMs(now)) * MAX_PAUSE_RATIO;
  return candidates.filter(
    (view) =>
      loadOf(view) <= maxLoad &&
      view.pauseMs(now) <= maxPauseMs &&
      adapterLoadWaitMs(view) <= maxLoadWaitMs,
  );
}

/**
 * Chooses the server to load an adapter that no server holds.
 *
 * Prefers servers that are not overloaded, and falls back to the shortest wait for a load.
 */
function chooseLoadTarget(
  request: ServerChoiceRequest,
  views: readonly ServerView[],
): ServerChoice {
  const { modelName = '' } = request;
  const inTime = views.filter((view) => canLoadInTime(view, request));
  const view =
    preferredLoadTarget(modelName, underloadedServers(request, views)) ??
    lowestCostView(inTime, adapterLoadWaitMs);
  if (view !== undefined) return { kind: 'load', view };
  return { kind: 'refuse', reason: 'no-place', retryAfterMs: OVERLOAD_RETRY_AFTER_MS };
}

/**
 * Chooses a server for a long prompt by prefill stall cost: the best holder, or a server that has to load
 * the adapter first if its cost is much lower. Returns `undefined` if no other server can load the adapter
 * in time.
 */
function chooseForLongPrompt(
  request: ServerChoiceRequest,
  views: readonly ServerView[],
  holders: readonly ServerView[],
): ServerChoice | undefined {
  const holder = lowestCostView(holders, prefillStallCost);
  const others = views.filter((view) => !holders.includes(view) && canLoadInTime(view, request));
  const other = lowestCostView(others, prefillStallCost);
  if (other === undefined) return undefined;
  const isHolderAcceptable =
    holder !== undefined &&
    prefillStallCost(holder) <= prefillStallCost(other) * MAX_STALL_COST_RATIO;
  return isHolderAcceptable ? { kind: 'send', view: holder } : { kind: 'load', view: other };
}

/** Chooses a server for a further copy of an adapter whose best holder is overloaded. */
function chooseReplicaTarget(
  request: ServerChoiceRequest,
  views: readonly ServerView[],
  best: ServerView,
): ServerView | undefined {
  const { modelName = '', batchWidth, minVersion, now } = request;
  const loadOf = speedAdjustedLoad(views);
  const maxLoad = meanOf(views, loadOf) + MAX_EXCESS_LOAD * batchWidth;
  const isHot = (best.requestsByModel.get(modelName) ?? 0) >= HOT_ADAPTER_REQUESTS;
  const maxPauseMs = Math.max(
    isHot ? HOT_REPLICATION_PAUSE_MS : COLD_REPLICATION_PAUSE_MS,
    meanOf(views, (view) => view.pauseMs(now)) * MAX_PAUSE_RATIO,
  );
  if (loadOf(best) <= maxLoad && best.pauseMs(now) <= maxPauseMs) return undefined;
  const candidates = underloadedServers(request, views).filter(
    (view) =>
      !view.holds(modelName, minVersion) && requestCost(view, request) < requestCost(best, request),
  );
  return preferredLoadTarget(modelName, candidates);
}

/**
 * Waits a moment for a holder with a limit whose permit is imminent, or else loads the adapter on a server
 * without a limit, or else waits for any holder, or else loads the adapter on any server. A copy on another server with a limit would not let more requests through soon.
 */
function chooseWithoutOpenHolder(
  request: ServerChoiceRequest,
  ready: readonly ServerView[],
  closedHolders: readonly ServerView[],
): ServerChoice {
  const unlimited = ready.filter((view) => !isLimited(request, view));
  const imminent = closedHolders.filter(({ server }) => request.limited?.imminent.has(server.id));
  if (imminent.length > 0) return { kind: 'await-permit', views: imminent, isBrief: true };
  const choice = chooseLoadTarget(request, unlimited);
  if (choice.kind === 'load') return choice;
  if (closedHolders.length > 0) {
    return { kind: 'await-permit', views: closedHolders, isBrief: false };
  }
  return unlimited.length === ready.length ? choice : chooseLoadTarget(request, ready);
}

/**
 * Chooses a server for a request, or refuses the request if no server can start it in time.
 *
 * @param request The request's model, prompt and limits.
 * @param views The servers of the request's service.
 */
export function chooseServer(
  request: ServerChoiceRequest,
  views: readonly ServerView[],
): ServerChoice {
  const { modelName, minVersion } = request;
  const ready = views.filter((view) => view.isReady);
  if (ready.length === 0) {
    return { kind: 'refuse', reason: 'no-server', retryAfterMs: NO_SERVER_RETRY_AFTER_MS };
  }
  const free = ready.filter((view) => view.load < view.server.slots * MAX_REQUESTS_PER_SLOT);
  const available = free.filter((view) => isOpen(request, view));
  const closed = free.filter((view) => !isOpen(request, view));
  if (free.length === 0) {
    return { kind: 'refuse', reason: 'servers-full', retryAfterMs: OVERLOAD_RETRY_AFTER_MS };
  }
  if (modelName === undefined) {
    const cost = (view: ServerView): number => {
      const isSameZone = view.server.availabilityZone === request.availabilityZone;
      return view.firstByteMs * (1 + view.inFlight + (isSameZone ? 0 : CROSS_ZONE_COST));
    };
    const candidates = preferUnconfirmed(request, available);
    const best = request.pick?.(candidates) ?? lowestCostView(candidates, cost);
    return best === undefined
      ? { kind: 'await-permit', views: closed, isBrief: false }
      : { kind: 'send', view: best };
  }
  const holders = preferUnconfirmed(
    request,
    available.filter((view) => view.holds(modelName, minVersion)),
  );
  const unlimited = ready.filter((view) => !isLimited(request, view));
  if ((request.promptTokens ?? 0) > LONG_PROMPT_TOKENS) {
    const choice = chooseForLongPrompt(request, unlimited, holders);
    if (choice !== undefined) return choice;
  }
  const best =
    request.pick?.(holders) ?? lowestCostView(holders, (view) => requestCost(view, request));
  if (best === undefined) {
    const closedHolders = closed.filter((view) => view.holds(modelName, minVersion));
    return chooseWithoutOpenHolder(request, ready, closedHolders);
  }
  const replicaTarget = chooseReplicaTarget(request, unlimited, best);
  return {
    kind: 'send',
    view: best,
    ...(replicaTarget === undefined ? {} : { replicaTarget }),
  };
}
