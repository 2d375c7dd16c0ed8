import type { IniProblem } from '../ini/mod.ts';
import { formatLine } from './_buckets.ts';
import type { ObjectKind, SetObject } from './objects.ts';
import { MAX_VALUE_BYTES } from './packSet.ts';
import type { Declaration } from './parseSet.ts';

/** The objects of a set, and all problems found; the set is valid when there are none. */
export type SetCheckResult = {
  readonly objects: readonly SetObject[];
  readonly problems: readonly IniProblem[];
};

type Reference = { readonly kind: ObjectKind; readonly name: string; readonly key: string };

function referencesOf(object: SetObject): readonly Reference[] {
  switch (object.kind) {
    case 'caller':
    case 'objective':
    case 'service':
      return [{ kind: 'tenant', name: object.tenant, key: 'tenant' }];
    case 'limit':
      return [{ kind: 'tenant', name: object.name, key: 'name' }];
    case 'pool':
      return [{ kind: 'base_model', name: object.baseModel, key: 'base_model' }];
    case 'adapter':
      return [
        { kind: 'tenant', name: object.tenant, key: 'tenant' },
        { kind: 'pool', name: object.pool, key: 'pool' },
      ];
    case 'route':
      return [
        { kind: 'tenant', name: object.tenant, key: 'tenant' },
        { kind: 'adapter', name: object.adapter, key: 'adapter' },
      ];
    case 'backend_server':
      return [
        { kind: 'pool', name: object.pool, key: 'pool' } as const,
        { kind: 'service', name: object.service, key: 'service' } as const,
      ].filter((reference) => reference.name !== '');
    default:
      return [];
  }
}

class SetChecker {
  readonly #declarations: readonly Declaration[];

  readonly #byName = new Map<string, Declaration>();

  readonly #problems: IniProblem[] = [];

  constructor(declarations: readonly Declaration[]) {
    this.#declarations = declarations;
  }

  check(): readonly IniProblem[] {
    this.#declarations.forEach((declaration) => this.#indexDeclaration(declaration));
    this.#declarations.forEach((declaration) => this.#checkReferences(declaration));
    this.#declarations.forEach((declaration) => this.#checkConstraints(declaration));
    this.#checkTokens();
    return this.#problems;
  }

  #indexDeclaration(declaration: Declaration): void {
    const { kind, name } = declaration.object;
    const key = `${kind} ${name}`;
    const first = this.#byName.get(key);
    if (first === undefined) {
      this.#byName.set(key, declaration);
      return;
    }
    this.#report(declaration, `is already declared at ${first.file}:${first.line}; rename one`);
  }

  #checkReferences(declaration: Declaration): void {
    for (const reference of referencesOf(declaration.object)) {
      if (!this.#byName.has(`${reference.kind} ${reference.name}`)) {
        const heading = `[${reference.kind} ${reference.name}]`;
        this.#report(
          declaration,
          `${reference.key} names ${reference.kind} "${reference.name}", which is not declared; ` +
            `declare ${heading} or correct the name`,
        );
      }
    }
  }

  #checkConstraints(declaration: Declaration): void {
    const { object } = declaration;
    if (object.kind === 'backend_server' && (object.pool === '') === (object.service === '')) {
      this.#report(declaration, 'must have either pool or service; set exactly one of them');
    }
    const bytes = formatLine(object).length;
    if (bytes > MAX_VALUE_BYTES) {
      const limit = `a value holds at most ${MAX_VALUE_BYTES}`;
      this.#report(declaration, `takes ${bytes} bytes, but ${limit}; shorten its lists`);
    }
    if (object.kind === 'route') this.#checkRoute(declaration, object);
  }

  #checkRoute(declaration: Declaration, route: Extract<SetObject, { kind: 'route' }>): void {
    const adapter = this.#byName.get(`adapter ${route.adapter}`)?.object;
    if (adapter?.kind !== 'adapter') return;
    if (!adapter.versions.includes(route.version)) {
      const known = adapter.versions.join(', ');
      this.#report(
        declaration,
        `version "${route.version}" is not among those of ${route.adapter}; use one of ${known}`,
      );
    }
    if (adapter.tenant !== route.tenant && !adapter.shared) {
      this.#report(
        declaration,
        `adapter ${route.adapter} belongs to another tenant and is not shared; set shared = true on it`,
      );
    }
  }

  #checkTokens(): void {
    const seen = new Map<string, Declaration>();
    for (const declaration of this.#declarations) {
      const { object } = declaration;
      if (object.kind === 'caller' || object.kind === 'operator') {
        const first = seen.get(object.tokenSha256);
        if (first !== undefined) {
          this.#report(
            declaration,
            `has the token of ${first.object.kind} ${first.object.name}; issue another`,
          );
        }
        seen.set(object.tokenSha256, declaration);
      }
    }
  }

  #report(declaration: Declaration, message: string): void {
    const { file, line, object } = declaration;
    this.#problems.push({ file, line, message: `${object.kind} ${object.name}: ${message}` });
  }
}

/**
 * Checks the objects of a set: names and tokens are unique, references resolve, routes name usable
 * adapter versions, backend servers have either a pool or a service, and each object fits into a
 * value of the configuration service.
 *
 * @param declarations The objects of all files.
 */
export function checkSet(declarations: readonly Declaration[]): SetCheckResult {
  const problems = new SetChecker(declarations).check();
  return { objects: declarations.map((declaration) => declaration.object), problems };
}
