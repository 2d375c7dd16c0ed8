import type { Call, EntryFrame, ExchangeEvent, Role, SidecarFrame } from '../core/link/mod.ts';

/** Tells whether a value has the form that it should. */
type Check = (value: unknown) => boolean;

type Fields = Readonly<Record<string, Check>>;

/** The longest name, nonce, proof or key. */
const MOST_NAME_LENGTH = 1024;

/** The longest list in one frame. */
const MOST_ITEMS = 100_000;

const name: Check = (value) => typeof value === 'string' && value.length <= MOST_NAME_LENGTH;

const text: Check = (value) => typeof value === 'string';

const flag: Check = (value) => typeof value === 'boolean';

const count: Check = (value) => Number.isSafeInteger(value) && (value as number) >= 0;

const quantity: Check = (value) => Number.isFinite(value) && (value as number) >= 0;

const time: Check = (value) => Number.isFinite(value);

function object(fields: Fields): Check {
  const checks = Object.entries(fields);
  return (value) =>
    typeof value === 'object' &&
    value !== null &&
    checks.every(([key, check]) => check((value as Record<string, unknown>)[key]));
}

function optional(check: Check): Check {
  return (value) => value === undefined || check(value);
}

function list(check: Check): Check {
  return (value) => Array.isArray(value) && value.length <= MOST_ITEMS && value.every(check);
}

function tagged<K extends string>(kinds: Readonly<Record<K, Check>>): Check {
  const checks = new Map<string, Check>(Object.entries<Check>(kinds));
  return (value) => {
    if (typeof value !== 'object' || value === null) return false;
    return checks.get(String((value as { kind?: unknown }).kind))?.(value) ?? false;
  };
}

const identity = object({
  role: (value) => value === 'entry' || value === 'sidecar',
  host: name,
  incarnation: name,
});

const stamp = object({ generation: count, digest: name });

const demandFields = { tenant: name, requestsPerSecond: quantity, requestsInFlight: quantity };

const demand = object(demandFields);

const demandTotal = object({ ...demandFields, entries: count });

const report = object({
  running: count,
  waiting: count,
  batchWidth: quantity,
  resident: list(name),
  wanted: optional(list(name)),
  freeSlots: optional(count),
  displacedUses: optional(quantity),
  leaving: flag,
  backendServer: name,
});

const keyFields = { service: name, tenant: name };

const call = tagged<Call['kind']>({
  completion: object({
    adapterVersion: name,
    tenant: name,
    prompt: text,
    maxTokens: count,
    priority: time,
  }),
  'mint-key': object(keyFields),
  'service-call': object({ ...keyFields, key: name, body: text, mayBegin: flag }),
  'lookup-key': object({ ...keyFields, key: name }),
  'revoke-key': object({ ...keyFields, key: name }),
});

const unfinished = object({ reason: name, detail: text, retryAfterMs: optional(quantity) });

const outcome = tagged({
  done: () => true,
  'not-run': unfinished,
  failed: unfinished,
  unknown: unfinished,
});

const event = tagged<ExchangeEvent['kind']>({
  started: object({ servedBy: name, loadStallMs: time, queuedMs: time }),
  chunk: object({ text, tokens: count }),
  final: object({ outcome, tokens: count, digest: name, body: text }),
});

const setFrames = {
  'set-read': object({ name }),
  'set-conflict': object({ generation: count, digests: list(name) }),
  'set-value': object({ name, text: (value) => value === null || text(value) }),
};

const entryFrame = tagged<EntryFrame['kind']>({
  hello: object({ version: count, identity, target: name, epoch: count, nonce: name }),
  proof: object({
    proof: name,
    resume: list(object({ exchange: name, nextEvent: count })),
    set: stamp,
  }),
  submit: object({
    exchange: name,
    generation: count,
    budgetMs: time,
    echo: time,
    sinceEchoMs: time,
    call,
  }),
  acknowledge: object({ exchange: name, nextEvent: count }),
  cancel: object({ exchange: name }),
  heartbeat: object({ set: stamp, demand: optional(list(demand)) }),
  ...setFrames,
});

const reportFields = { stamp: time, set: stamp, report, demand: optional(list(demandTotal)) };

const sidecarFrame = tagged<SidecarFrame['kind']>({
  welcome: object({ version: count, identity, nonce: name, proof: name }),
  ready: object({ unseen: list(name), ...reportFields }),
  event: object({ exchange: name, number: count, event }),
  heartbeat: object(reportFields),
  refused: object({ reason: text }),
  ...setFrames,
});

/** Tells whether a value is a frame that the given end sends; unknown fields are let pass. */
export const FRAME_CHECKS: Readonly<Record<Role, Check>> = {
  entry: entryFrame,
  sidecar: sidecarFrame,
};
