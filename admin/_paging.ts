/** One row of a list; rows are in ascending order of `key`. */
export type Row = { readonly key: string } & Readonly<Record<string, unknown>>;

/** The query of one page of a list. */
export type PageQuery = {
  /** The largest number of rows to return. */
  readonly limit: number;
  /** Cursor; rows up to and including this key are skipped. */
  readonly after: string;
  /** Required values by field; a value that ends in `*` matches by prefix. */
  readonly filters: ReadonlyMap<string, string>;
};

/** One page of a list. */
export type Page = {
  readonly rows: readonly Row[];
  /** Cursor of the next page; absent at the end of the list. */
  readonly next?: string;
};

/** The largest number of rows in a page. */
export const MAX_ROWS = 500;

/** Rows that one request scans before it returns the matches found so far. */
export const MAX_SCANNED_ROWS = 20_000;

const DEFAULT_ROWS = 100;

const MAX_FILTERS = 8;

/** Parses `limit`, `after` and the filters from the query of a URL. */
export function parsePageQuery(query: URLSearchParams): PageQuery {
  const requested = Number(query.get('limit') ?? DEFAULT_ROWS);
  const limit =
    Number.isInteger(requested) && requested > 0 ? Math.min(requested, MAX_ROWS) : DEFAULT_ROWS;
  const others = [...query].filter(([name]) => name !== 'limit' && name !== 'after');
  return {
    limit,
    after: query.get('after') ?? '',
    filters: new Map(others.slice(0, MAX_FILTERS)),
  };
}

function matches(row: Row, filters: PageQuery['filters']): boolean {
  return [...filters].every(([name, wanted]) => {
    const value = String(row[name] ?? '');
    return wanted.endsWith('*') ? value.startsWith(wanted.slice(0, -1)) : value === wanted;
  });
}

/**
 * Returns one page of a list.
 *
 * @param rows Rows after `query.after`, in ascending order of key.
 * @param query The page size and filters.
 */
export function paginate(rows: Iterable<Row>, query: PageQuery): Page {
  const matched: Row[] = [];
  let scannedCount = 0;
  let lastKey = '';
  for (const row of rows) {
    if (matched.length === query.limit || scannedCount === MAX_SCANNED_ROWS) {
      return { rows: matched, next: lastKey };
    }
    scannedCount += 1;
    lastKey = row.key;
    if (matches(row, query.filters)) matched.push(row);
  }
  return { rows: matched };
}

/** Returns the names that sort after a key, in ascending order. */
export function namesAfter(names: Iterable<string>, after: string): readonly string[] {
  return [...names].filter((name) => name > after).sort();
}
