/** The name of one version of one adapter, `tenant/adapter@version`. */
export type AdapterVersion = string;

/** The parts of an adapter version's name. */
export type AdapterVersionParts = {
  /** `tenant/adapter`. */
  readonly adapter: string;
  readonly version: string;
};

/**
 * Joins an adapter's name and a version.
 *
 * @example
 * ```ts
 * formatAdapterVersion({ adapter: 'ixchel/fincas', version: '2' }); // 'ixchel/fincas@2'
 * ```
 */
export function formatAdapterVersion(parts: AdapterVersionParts): AdapterVersion {
  return `${parts.adapter}@${parts.version}`;
}

/**
 * Splits the name of an adapter version.
 *
 * @returns The parts, or `undefined` when the text has no version.
 */
export function parseAdapterVersion(text: string): AdapterVersionParts | undefined {
  const at = text.lastIndexOf('@');
  if (at <= 0 || at === text.length - 1) return undefined;
  return { adapter: text.slice(0, at), version: text.slice(at + 1) };
}
