import { Command, Option } from 'clipanion';
import { parseIni } from '../core/ini/mod.ts';
import { formatSettings, maskSettings } from '../settings/mod.ts';
import type { SettingsRole } from '../settings/mod.ts';
import { readTextFile, readSettingsFile } from './_readInputFile.ts';
import { reportUsageError } from './_reportUsageError.ts';

const ROLES: readonly SettingsRole[] = ['entry', 'sidecar', 'standins'];

/** Sections that occur in the settings of one role only. */
const DISTINCTIVE_SECTIONS: readonly { readonly section: string; readonly role: SettingsRole }[] = [
  { section: 'backend', role: 'sidecar' },
  { section: 'engines', role: 'standins' },
];

/** Infers from the sections of a settings file which role it is for. */
function inferRole(text: string): SettingsRole {
  const sections = new Set(parseIni('', text).sections.map(({ name }) => name));
  return DISTINCTIVE_SECTIONS.find(({ section }) => sections.has(section))?.role ?? 'entry';
}

/** `hyssopspread settings check`. */
export class SettingsCheckCommand extends Command {
  static override paths = [['settings', 'check']];

  static override usage = Command.Usage({
    description: 'Validates a settings file and prints the settings with defaults, secrets masked.',
    details: 'Without --role, infers the role from the sections of the file.',
    examples: [
      ['Check the settings of an entry', '$0 settings check entry.ini'],
      ['Print them as JSON', '$0 settings check --json entry.ini'],
    ],
  });

  readonly role = Option.String('--role', { description: ROLES.join(', ') });

  readonly json = Option.Boolean('--json', false, { description: 'Print JSON' });

  readonly file = Option.String({ name: 'FILE' });

  async execute(): Promise<number> {
    const role = ROLES.find((each) => each === this.role);
    if (this.role !== undefined && role === undefined) {
      return reportUsageError(
        this.context,
        `--role "${this.role}" is invalid; use ${ROLES.join(', ')}`,
      );
    }
    const file = readTextFile(this.file);
    const result =
      file.kind === 'failure' ? file : readSettingsFile(role ?? inferRole(file.text), this.file);
    if (result.kind === 'failure') {
      this.context.stderr.write(`${result.text}\n`);
      return 1;
    }
    const masked = maskSettings(result.settings, result.linkKeys);
    const text = this.json ? JSON.stringify(masked, null, 2) : formatSettings(masked);
    this.context.stdout.write(`${text}\n`);
    return 0;
  }
}
