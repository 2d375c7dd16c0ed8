/** What adapter placement in a pool optimizes for. */
export type PoolPolicy = 'batch-efficiency' | 'load-stalls';

/** An organization with its own adapters and callers. */
export type Tenant = { readonly kind: 'tenant'; readonly name: string };

/** A client account, identified by the SHA-256 of its bearer token in hexadecimal. */
export type Caller = {
  readonly kind: 'caller';
  readonly name: string;
  readonly tenant: string;
  readonly tokenSha256: string;
};

/** A base model that adapters fine-tune. */
export type BaseModel = { readonly kind: 'base_model'; readonly name: string };

/** A group of engines with one base model that serve the same adapters. */
export type Pool = {
  readonly kind: 'pool';
  readonly name: string;
  readonly baseModel: string;
  readonly policy: PoolPolicy;
  /** Number of adapters that one engine of the pool holds at a time. */
  readonly slots: number;
  /** Rate limit for adapter loads from the weight store, in loads per second for the whole pool. */
  readonly loadsPerSecond: number;
  /** Number of concurrent loads that the weight store serves at full speed. */
  readonly loadsAtOnce: number;
};

/** A fine-tuned adapter, named `tenant/adapter`. */
export type Adapter = {
  readonly kind: 'adapter';
  readonly name: string;
  readonly tenant: string;
  readonly pool: string;
  readonly versions: readonly string[];
  /** Whether other tenants may use the adapter. */
  readonly shared: boolean;
};

/** An alias, `tenant/route`, for one version of an adapter. */
export type Route = {
  readonly kind: 'route';
  readonly name: string;
  readonly tenant: string;
  readonly adapter: string;
  readonly version: string;
};

/** A plain HTTP service, named `tenant/service`. */
export type Service = {
  readonly kind: 'service';
  readonly name: string;
  readonly tenant: string;
  readonly shared: boolean;
};

/** A model engine or an instance of a plain service, with its own sidecar. */
export type BackendServer = {
  readonly kind: 'backend_server';
  readonly name: string;
  /** The pool of an engine; empty for a plain service. */
  readonly pool: string;
  /** The plain service; empty for an engine. */
  readonly service: string;
};

/** Limits of one tenant across all entries; 0 means unlimited. */
export type TenantLimit = {
  readonly kind: 'limit';
  /** The tenant's name. */
  readonly name: string;
  readonly requestsPerSecond: number;
  readonly requestsInFlight: number;
};

/** A service level objective of a tenant. */
export type Objective = {
  readonly kind: 'objective';
  readonly name: string;
  readonly tenant: string;
  /** Fraction of requests that must be good, between 0 and 1. */
  readonly target: number;
  /** Time to first token above which a request is not good. */
  readonly firstTokenMs: number;
};

/** Permissions that an operator can have on the administration API. */
export const OPERATOR_SCOPES = ['read', 'check'] as const;

/** A permission on the administration API. */
export type OperatorScope = (typeof OPERATOR_SCOPES)[number];

/** A user of the administration API, identified by the SHA-256 of a bearer token. */
export type Operator = {
  readonly kind: 'operator';
  readonly name: string;
  readonly tokenSha256: string;
  readonly scopes: readonly OperatorScope[];
};

/** Any object of a set. */
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

/** The kinds of objects, in the order in which a manifest lists their parts. */
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

/** The kind of an object. */
export type ObjectKind = (typeof OBJECT_KINDS)[number];
