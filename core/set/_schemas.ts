import { z } from 'zod';
import { OBJECT_KINDS, OPERATOR_SCOPES } from './objects.ts';
import type { ObjectKind, SetObject } from './objects.ts';

const SIMPLE_NAME = /^[a-z0-9][a-z0-9_-]*$/;
const QUALIFIED_NAME = /^[a-z0-9][a-z0-9_-]*\/[a-z0-9][a-z0-9_-]*$/;

const simpleName = z.string().regex(SIMPLE_NAME, 'must be lower-case letters, digits, - and _');
const qualifiedName = z.string().regex(QUALIFIED_NAME, 'must be written tenant/name in lower case');
const version = z.string().regex(/^[A-Za-z0-9._-]+$/, 'must be letters, digits, ., - and _');
const booleanText = z
  .enum(['true', 'false'], 'must be true or false')
  .transform((text) => text === 'true');
const tokenSha256 = z.string().regex(/^[0-9a-f]{64}$/, 'must be 64 hexadecimal digits');
const versions = z
  .string()
  .transform((text) => text.split(',').map((part) => part.trim()))
  .pipe(z.array(version).min(1));
const scopes = z
  .string()
  .default('read')
  .transform((text) => text.split(',').map((part) => part.trim()))
  .pipe(z.array(z.enum(OPERATOR_SCOPES, `must be among ${OPERATOR_SCOPES.join(', ')}`)).min(1));

function decimal(minimum: number, unit: string): z.ZodType<number, string> {
  return z
    .string()
    .regex(/^-?\d+(\.\d+)?$/, `must be a decimal number (${unit})`)
    .transform(Number)
    .pipe(z.number().min(minimum, `must be at least ${minimum} (${unit})`));
}

const optionalReference = z.string().default('');

function tenantOf(name: string): string {
  return name.slice(0, name.indexOf('/'));
}

const schemas = {
  tenant: z.strictObject({ name: simpleName }),
  caller: z
    .strictObject({
      name: simpleName,
      tenant: simpleName,
      token_sha256: tokenSha256,
    })
    .transform((caller) => ({
      name: caller.name,
      tenant: caller.tenant,
      tokenSha256: caller.token_sha256,
    })),
  base_model: z.strictObject({ name: simpleName }),
  pool: z
    .strictObject({
      name: simpleName,
      base_model: simpleName,
      policy: z.enum(['batch-efficiency', 'load-stalls']),
      slots: decimal(1, 'adapters'),
      loads_per_second: decimal(0.01, 'loads per second'),
      loads_at_once: decimal(1, 'loads'),
    })
    .transform((pool) => ({
      name: pool.name,
      baseModel: pool.base_model,
      policy: pool.policy,
      slots: pool.slots,
      loadsPerSecond: pool.loads_per_second,
      loadsAtOnce: pool.loads_at_once,
    })),
  adapter: z
    .strictObject({
      name: qualifiedName,
      pool: simpleName,
      versions,
      shared: booleanText.default(false),
    })
    .transform((adapter) => ({ ...adapter, tenant: tenantOf(adapter.name) })),
  route: z
    .strictObject({ name: qualifiedName, adapter: qualifiedName, version })
    .transform((route) => ({ ...route, tenant: tenantOf(route.name) })),
  service: z
    .strictObject({ name: qualifiedName, shared: booleanText.default(false) })
    .transform((service) => ({ ...service, tenant: tenantOf(service.name) })),
  backend_server: z.strictObject({
    name: simpleName,
    pool: optionalReference,
    service: optionalReference,
  }),
  limit: z
    .strictObject({
      name: simpleName,
      requests_per_second: decimal(0, 'requests per second').default(0),
      requests_in_flight: decimal(0, 'requests').default(0),
    })
    .transform((limit) => ({
      name: limit.name,
      requestsPerSecond: limit.requests_per_second,
      requestsInFlight: limit.requests_in_flight,
    })),
  objective: z
    .strictObject({
      name: simpleName,
      tenant: simpleName,
      target: decimal(0, 'fraction of 1').pipe(z.number().max(1, 'must be at most 1')),
      first_token_ms: decimal(1, 'milliseconds'),
    })
    .transform((objective) => ({
      name: objective.name,
      tenant: objective.tenant,
      target: objective.target,
      firstTokenMs: objective.first_token_ms,
    })),
  operator: z
    .strictObject({ name: simpleName, token_sha256: tokenSha256, scopes })
    .transform((operator) => ({
      name: operator.name,
      tokenSha256: operator.token_sha256,
      scopes: operator.scopes,
    })),
} satisfies Record<ObjectKind, z.ZodType>;

/** A validation error in the value of one key, or a missing or unknown key. */
export type FieldProblem = { readonly key: string; readonly message: string };

/** A parsed object, or its validation errors. */
export type ObjectResult =
  | { readonly kind: 'object'; readonly object: SetObject }
  | { readonly kind: 'problems'; readonly problems: readonly FieldProblem[] };

/** Returns whether the first word of a section heading is a kind of object. */
export function isObjectKind(word: string): word is ObjectKind {
  return (OBJECT_KINDS as readonly string[]).includes(word);
}

/**
 * Validates one INI section and converts it to an object.
 *
 * @param kind The kind from the section heading.
 * @param values The object's name and the keys of the section.
 */
export function parseObject(
  kind: ObjectKind,
  values: Readonly<Record<string, string>>,
): ObjectResult {
  const result = schemas[kind].safeParse(values);
  if (result.success) {
    return { kind: 'object', object: { kind, ...result.data } as SetObject };
  }
  const problems = result.error.issues.flatMap((issue): FieldProblem[] => {
    if (issue.code === 'unrecognized_keys') {
      return issue.keys.map((key) => ({
        key,
        message: `is not a key of ${kind}; remove it or correct its spelling`,
      }));
    }
    const key = String(issue.path[0] ?? 'name');
    const value = values[key];
    if (value === undefined) return [{ key, message: 'is missing; add it' }];
    return [{ key, message: `= "${value}": ${issue.message}` }];
  });
  return { kind: 'problems', problems };
}
