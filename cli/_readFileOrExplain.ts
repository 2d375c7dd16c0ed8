import { readFileSync } from 'node:fs';
import { formatProblem } from '../core/ini/mod.ts';
import { readLinkKey, readSettings } from '../settings/mod.ts';
import type { Settings, SettingsRole } from '../settings/mod.ts';

/** A check that a command failed, with the text to print. */
export type Refusal = { readonly kind: 'refusal'; readonly text: string };

/** Builds a refusal. */
export function refusal(text: string): Refusal {
  return { kind: 'refusal', text };
}

/** Reads a file, or says why it cannot be read. */
export function readFileOrExplain(
  name: string,
): { readonly kind: 'text'; readonly text: string } | Refusal {
  try {
    return { kind: 'text', text: readFileSync(name, 'utf8') };
  } catch (error) {
    const code = (error as NodeJS.ErrnoException).code ?? 'error';
    return refusal(`${name}: the file cannot be read (${code}); correct its name or its rights`);
  }
}

/** Reads and checks a settings file. */
export function readSettingsFile<R extends SettingsRole>(
  role: R,
  name: string,
): { readonly kind: 'settings'; readonly settings: Settings<R> } | Refusal {
  const file = readFileOrExplain(name);
  if (file.kind === 'refusal') return file;
  const reading = readSettings(role, name, file.text);
  if (reading.kind === 'settings') return reading;
  return refusal(reading.problems.map(formatProblem).join('\n'));
}

/** Reads the settings of a process and its link keys. */
export function readProcess<R extends 'entry' | 'sidecar'>(
  role: R,
  name: string,
):
  | {
      readonly kind: 'process';
      readonly settings: Settings<R>;
      readonly linkKeys: readonly string[];
    }
  | Refusal {
  const reading = readSettingsFile(role, name);
  if (reading.kind === 'refusal') return reading;
  const keys = readLinkKey(reading.settings.link);
  if (keys.kind === 'problem') return refusal(`${name}: [link] ${keys.message}`);
  return { kind: 'process', settings: reading.settings, linkKeys: keys.keys };
}
