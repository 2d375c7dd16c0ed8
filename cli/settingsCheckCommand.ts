import { Command, Option } from 'clipanion';
import { parseIni } from '../core/ini/mod.ts';
import { formatSettings, maskSettings } from '../settings/mod.ts';
import type { SettingsRole } from '../settings/mod.ts';
import { readFileOrExplain, readSettingsFile } from './_readFileOrExplain.ts';
import { refuseUse } from './_refuseUse.ts';

const ROLES: readonly SettingsRole[] = ['entry', 'sidecar', 'standins'];

/** The section that only the settings of a role have. */
const MARKS: readonly { readonly section: string; readonly role: SettingsRole }[] = [
  { section: 'backend', role: 'sidecar' },
  { section: 'engines', role: 'standins' },
];

/** Tells by its sections whose settings a file holds. */
function guessRole(text: string): SettingsRole {
  const sections = new Set(parseIni('', text).sections.map(({ name }) => name));
  return MARKS.find(({ section }) => sections.has(section))?.role ?? 'entry';
}

/** `hyssopspread settings check`. */
export class SettingsCheckCommand extends Command {
  static override paths = [['settings', 'check']];

  static override usage = Command.Usage({
    description: 'Checks a settings file and prints the settings in force, secrets masked.',
    details: 'The file’s sections tell whose settings they are unless --role says it.',
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
      return refuseUse(this.context, `--role "${this.role}" is wrong; use ${ROLES.join(', ')}`);
    }
    const file = readFileOrExplain(this.file);
    const reading =
      file.kind === 'refusal' ? file : readSettingsFile(role ?? guessRole(file.text), this.file);
    if (reading.kind === 'refusal') {
      this.context.stderr.write(`${reading.text}\n`);
      return 1;
    }
    const shown = maskSettings(reading.settings, reading.linkKeys);
    const text = this.json ? JSON.stringify(shown, null, 2) : formatSettings(shown);
    this.context.stdout.write(`${text}\n`);
    return 0;
  }
}
