import type { Call, EntryFrame, ExchangeEvent, Role, SidecarFrame } from '../core/link/mod.ts';

/** Returns whether a value is valid. */
type Validator = (value: unknown) => boolean;

type Fields = Readonly<Record<string, Validator>>;

/** Maximum length of a name, nonce, proof or key, in UTF-16 code units. */
const MAX_NAME_LENGTH = 1024;

/** Maximum number of items of a list in a frame. */
const MAX_LIST_ITEMS = 100_000;

const shortString: Validator = (value) =>
  typeof value === 'string' && value.length <= MAX_NAME_LENGTH;

const string: Validator = (value) => typeof value === 'string';

const boolean: Validator = (value) => typeof value === 'boolean';

const nonNegativeInteger: Validator = (value) =>
  Number.isSafeInteger(value) && (value as number) >= 0;

const nonNegativeNumber: Validator = (value) => Number.isFinite(value) && (value as number) >= 0;

const finiteNumber: Validator = (value) => Number.isFinite(value);

function object(fields: Fields): Validator {
  const validators = Object.entries(fields);
  return (value) =>
    typeof value === 'object' &&
    value !== null &&
    validators.every(([key, validator]) => validator((value as Record<string, unknown>)[key]));
}

function optional(validator: Validator): Validator {
  return (value) => value === undefined || validator(value);
}

function list(validator: Validator): Validator {
  return (value) =>
    Array.isArray(value) && value.length <= MAX_LIST_ITEMS && value.every(validator);
}

function union<K extends string>(validatorsByKind: Readonly<Record<K, Validator>>): Validator {
  const validators = new Map<string, Validator>(Object.entries<Validator>(validatorsByKind));
  return (value) => {
    if (typeof value !== 'object' || value === null) return false;
    return validators.get(String((value as { kind?: unknown }).kind))?.(value) ?? false;
  };
}

const identity = object({
  role: (value) => value === 'entry' || value === 'sidecar',
  host: shortString,
  incarnation: shortString,
});

const stamp = object({ generation: nonNegativeInteger, digest: shortString });

const demandFields = {
  tenant: shortString,
  requestsPerSecond: nonNegativeNumber,
  requestsInFlight: nonNegativeNumber,
};

const demand = object(demandFields);

const demandTotal = object({ ...demandFields, entries: nonNegativeInteger });

const report = object({
  running: nonNegativeInteger,
  waiting: nonNegativeInteger,
  batchWidth: nonNegativeNumber,
  resident: list(shortString),
  wanted: optional(list(shortString)),
  freeSlots: optional(nonNegativeInteger),
  displacedUses: optional(nonNegativeNumber),
  leaving: boolean,
  backendServer: shortString,
});

const keyFields = { service: shortString, tenant: shortString };

const call = union<Call['kind']>({
  completion: object({
    adapterVersion: shortString,
    tenant: shortString,
    prompt: string,
    maxTokens: nonNegativeInteger,
    priority: finiteNumber,
  }),
  'mint-key': object(keyFields),
  'service-call': object({ ...keyFields, key: shortString, body: string, mayBegin: boolean }),
  'lookup-key': object({ ...keyFields, key: shortString }),
  'revoke-key': object({ ...keyFields, key: shortString }),
});

const failure = object({
  reason: shortString,
  detail: string,
  retryAfterMs: optional(nonNegativeNumber),
});

const outcome = union({
  done: () => true,
  'not-run': failure,
  failed: failure,
  unknown: failure,
});

const event = union<ExchangeEvent['kind']>({
  started: object({ servedBy: shortString, loadStallMs: finiteNumber, queuedMs: finiteNumber }),
  chunk: object({ text: string, tokens: nonNegativeInteger }),
  final: object({ outcome, tokens: nonNegativeInteger, digest: shortString, body: string }),
});

const setFrames = {
  'set-read': object({ name: shortString }),
  'set-conflict': object({ generation: nonNegativeInteger, digests: list(shortString) }),
  'set-value': object({ name: shortString, text: (value) => value === null || string(value) }),
};

const entryFrame = union<EntryFrame['kind']>({
  hello: object({
    version: nonNegativeInteger,
    identity,
    target: shortString,
    epoch: nonNegativeInteger,
    nonce: shortString,
  }),
  proof: object({
    proof: shortString,
    resume: list(object({ exchange: shortString, nextEvent: nonNegativeInteger })),
    set: stamp,
  }),
  submit: object({
    exchange: shortString,
    generation: nonNegativeInteger,
    budgetMs: finiteNumber,
    echo: finiteNumber,
    sinceEchoMs: finiteNumber,
    call,
  }),
  acknowledge: object({ exchange: shortString, nextEvent: nonNegativeInteger }),
  cancel: object({ exchange: shortString }),
  heartbeat: object({ set: stamp, demand: optional(list(demand)) }),
  ...setFrames,
});

const reportFields = {
  stamp: finiteNumber,
  set: stamp,
  report,
  demand: optional(list(demandTotal)),
};

const sidecarFrame = union<SidecarFrame['kind']>({
  welcome: object({
    version: nonNegativeInteger,
    identity,
    nonce: shortString,
    proof: shortString,
  }),
  ready: object({ unseen: list(shortString), ...reportFields }),
  event: object({ exchange: shortString, number: nonNegativeInteger, event }),
  heartbeat: object(reportFields),
  refused: object({ reason: string }),
  ...setFrames,
});

/** Validators of the frames that each side sends; unknown fields are ignored. */
export const FRAME_CHECKS: Readonly<Record<Role, Validator>> = {
  entry: entryFrame,
  sidecar: sidecarFrame,
};
