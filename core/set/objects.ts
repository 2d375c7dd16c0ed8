/** What a pool's decisions favour when they cannot have both. */
export type PoolPolicy = 'batch-efficiency' | 'load-stalls';

/** An organisation with its own adapters and callers. */
export type Tenant = { readonly kind: 'tenant'; readonly name: string };

/** Somebody who sends requests, known by the SHA-256 of a bearer token in hexadecimal. */
export type Caller = {
  readonly kind: 'caller';
  readonly name: string;
  readonly tenant: string;
  readonly tokenSha256: string;
};

/** A model that adapters tune. */
export type BaseModel = { readonly kind: 'base_model'; readonly name: string };

/** Engines of one base model that serve the same adapters. */
export type Pool = {
  readonly kind: 'pool';
  readonly name: string;
  readonly baseModel: string;
  readonly policy: PoolPolicy;
  /** Adapters that one engine of the pool holds at a time. */
  readonly slots: number;
  /** Loads a second that the weight store allows the whole pool. */
  readonly loadsPerSecond: number;
  /** Loads that the weight store serves at full speed at once. */
  readonly loadsAtOnce: number;
};

/** A tuned adapter, named `tenant/adapter`. */
export type Adapter = {
  readonly kind: 'adapter';
  readonly name: string;
  readonly tenant: string;
  readonly pool: string;
  readonly versions: readonly string[];
  /** Whether other tenants may use it. */
  readonly shared: boolean;
};

/** A name, `tenant/route`, that stands for one version of one adapter. */
export type Route = {
  readonly kind: 'route';
  readonly name: string;
  readonly tenant: string;
  readonly adapter: string;
  readonly version: string;
};

/** A plain service, named `tenant/service`. */
export type Service = {
  readonly kind: 'service';
  readonly name: string;
  readonly tenant: string;
  readonly shared: boolean;
};

/** One model engine or plain service with a sidecar beside it. */
export type BackendServer = {
  readonly kind: 'backend_server';
  readonly name: string;
  /** The pool of an engine; empty for a plain service. */
  readonly pool: string;
  /** The plain service; empty for an engine. */
  readonly service: string;
};

/** What one tenant may use across all entries; 0 sets no limit. */
export type TenantLimit = {
  readonly kind: 'limit';
  /** The tenant's name. */
  readonly name: string;
  readonly requestsPerSecond: number;
  readonly requestsInFlight: number;
};

/** A service level that a tenant was promised. */
export type Objective = {
  readonly kind: 'objective';
  readonly name: string;
  readonly tenant: string;
  /** Share of requests that must be good, between 0 and 1. */
  readonly target: number;
  /** Time to the first token above which a request is not good. */
  readonly firstTokenMs: number;
};

/** What an operator's token allows on the administration API. */
export const OPERATOR_SCOPES = ['read', 'check'] as const;

/** One thing that an operator's token allows. */
export type OperatorScope = (typeof OPERATOR_SCOPES)[number];

/** Somebody who may use the administration API, known by the SHA-256 of a bearer token. */
export type Operator = {
  readonly kind: 'operator';
  readonly name: string;
  readonly tokenSha256: string;
  readonly scopes: readonly OperatorScope[];
};

/** Any object that operators declare. */
export type SetObject =
  | Tenant
  | Caller
  | BaseModel
  | Pool
  | Adapter
  | Route
  | Service
  | BackendServer
  | TenantLimit
  | Objective
  | Operator;

/** The kinds of objects in the order in which they are documented. */
export const OBJECT_KINDS = [
  'tenant',
  'caller',
  'base_model',
  'pool',
  'adapter',
  'route',
  'service',
  'backend_server',
  'limit',
  'objective',
  'operator',
] as const;

/** The kind of a declared object. */
export type ObjectKind = (typeof OBJECT_KINDS)[number];
