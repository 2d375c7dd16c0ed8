/** One row of a list; rows come in rising order of `key`. */
export type Row = { readonly key: string } & Readonly<Record<string, unknown>>;

/** What a reader asks of a list. */
export type PageQuery = {
  /** Rows wanted. */
  readonly limit: number;
  /** Rows up to and with this key are left out. */
  readonly after: string;
  /** Values that fields must have; a value that ends in `*` is a prefix. */
  readonly filters: ReadonlyMap<string, string>;
};

/** Part of a list. */
export type Page = {
  readonly rows: readonly Row[];
  /** Where to go on; absent at the end of the list. */
  readonly next?: string;
};

/** The most rows in one answer. */
export const MOST_ROWS = 500;

/** Rows that one read looks at before it answers with what it has found. */
export const MOST_LOOKED_AT = 20_000;

const DEFAULT_ROWS = 100;

const MOST_FILTERS = 8;

/** Reads `limit`, `after` and filters from a URL's query. */
export function readPageQuery(query: URLSearchParams): PageQuery {
  const asked = Number(query.get('limit') ?? DEFAULT_ROWS);
  const limit = Number.isInteger(asked) && asked > 0 ? Math.min(asked, MOST_ROWS) : DEFAULT_ROWS;
  const others = [...query].filter(([name]) => name !== 'limit' && name !== 'after');
  return {
    limit,
    after: query.get('after') ?? '',
    filters: new Map(others.slice(0, MOST_FILTERS)),
  };
}

function matches(row: Row, filters: PageQuery['filters']): boolean {
  return [...filters].every(([name, wanted]) => {
    const value = String(row[name] ?? '');
    return wanted.endsWith('*') ? value.startsWith(wanted.slice(0, -1)) : value === wanted;
  });
}

/**
 * Takes one page from a list.
 *
 * @param rows Rows after `query.after`, in rising order of key.
 * @param query What is wanted.
 */
export function takePage(rows: Iterable<Row>, query: PageQuery): Page {
  const taken: Row[] = [];
  let lookedAt = 0;
  let last = '';
  for (const row of rows) {
    if (taken.length === query.limit || lookedAt === MOST_LOOKED_AT) {
      return { rows: taken, next: last };
    }
    lookedAt += 1;
    last = row.key;
    if (matches(row, query.filters)) taken.push(row);
  }
  return { rows: taken };
}

/** Returns the names after a key, in rising order. */
export function namesAfter(names: Iterable<string>, after: string): readonly string[] {
  return [...names].filter((name) => name > after).sort();
}
