type Section = Readonly<Record<string, unknown>>;

/** Settings by section, with secrets masked. */
export type MaskedSettings = Readonly<Record<string, Section>>;

const MASKED = '(masked)';

function formatSetting(value: unknown): string {
  if (Array.isArray(value)) return value.map(formatSetting).join(', ');
  if (typeof value !== 'object' || value === null) return String(value);
  const { ip, port } = value as { readonly ip?: string; readonly port?: number };
  if (ip !== undefined) return ip.includes(':') ? `[${ip}]:${port}` : `${ip}:${port}`;
  return Object.values(value).map(formatSetting).join(' ');
}

/**
 * Returns settings for display, with a masked entry for each link key in use.
 *
 * @param settings Validated settings.
 * @param linkKeys Link keys; only their number is shown.
 */
export function maskSettings(settings: object, linkKeys: readonly string[]): MaskedSettings {
  const sections = settings as MaskedSettings;
  if (linkKeys.length === 0) return sections;
  return { ...sections, link: { ...sections.link, keys: linkKeys.map(() => MASKED) } };
}

/** Formats settings as INI; durations are in milliseconds. */
export function formatSettings(settings: MaskedSettings): string {
  return Object.entries(settings)
    .map(([name, section]) => {
      const lines = Object.entries(section)
        .filter(([, value]) => value !== undefined)
        .map(([key, value]) => `${key} = ${formatSetting(value)}`);
      return [`[${name}]`, ...lines].join('\n');
    })
    .join('\n\n');
}
