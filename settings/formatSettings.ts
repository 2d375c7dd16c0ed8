type Section = Readonly<Record<string, unknown>>;

/** Settings as they are shown, with each secret masked. */
export type ShownSettings = Readonly<Record<string, Section>>;

const MASKED = '(masked)';

function showSetting(value: unknown): string {
  if (Array.isArray(value)) return value.map(showSetting).join(', ');
  if (typeof value !== 'object' || value === null) return String(value);
  const { ip, port } = value as { readonly ip?: string; readonly port?: number };
  if (ip !== undefined) return ip.includes(':') ? `[${ip}]:${port}` : `${ip}:${port}`;
  return Object.values(value).map(showSetting).join(' ');
}

/**
 * Returns settings as operators may see them.
 *
 * @param settings Checked settings.
 * @param linkKeys Keys whose number is shown in place of their text.
 */
export function maskSettings(settings: object, linkKeys: readonly string[]): ShownSettings {
  const shown = settings as ShownSettings;
  if (linkKeys.length === 0) return shown;
  return { ...shown, link: { ...shown.link, keys: linkKeys.map(() => MASKED) } };
}

/** Formats settings as INI; times are in milliseconds. */
export function formatSettings(settings: ShownSettings): string {
  return Object.entries(settings)
    .map(([name, section]) => {
      const lines = Object.entries(section)
        .filter(([, value]) => value !== undefined)
        .map(([key, value]) => `${key} = ${showSetting(value)}`);
      return [`[${name}]`, ...lines].join('\n');
    })
    .join('\n\n');
}
