/** A member of a discriminated union with the tag `kind`. */
export type Tagged = { readonly kind: string };

/** One handler for each kind of a discriminated union. */
export type Handlers<T extends Tagged, R> = {
  readonly [K in T['kind']]: (value: Extract<T, { readonly kind: K }>) => R;
};

/** Calls the handler for the kind of a value. */
export function dispatch<T extends Tagged, R>(handlers: Handlers<T, R>, value: T): R {
  const handler = handlers[value.kind as T['kind']] as (each: T) => R;
  return handler(value);
}
