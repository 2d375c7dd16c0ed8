import { Command, Option } from 'clipanion';
import type { SettingsRole } from '../settings/mod.ts';
import { readSettingsFile } from './_readFileOrExplain.ts';

const ROLES: readonly string[] = ['entry', 'sidecar', 'standins'];

/** `hyssopspread settings check`. */
export class SettingsCheckCommand extends Command {
  static override paths = [['settings', 'check']];

  static override usage = Command.Usage({
    description: 'Checks a settings file and prints the settings in force.',
    examples: [['Check the settings of an entry', '$0 settings check --role entry entry.ini']],
  });

  readonly role = Option.String('--role', { required: true });

  readonly file = Option.String();

  async execute(): Promise<number> {
    if (!ROLES.includes(this.role)) {
      this.context.stderr.write(`--role "${this.role}" is wrong; use ${ROLES.join(', ')}\n`);
      return 1;
    }
    const reading = readSettingsFile(this.role as SettingsRole, this.file);
    if (reading.kind === 'refusal') {
      this.context.stderr.write(`${reading.text}\n`);
      return 1;
    }
    this.context.stdout.write(`${JSON.stringify(reading.settings, null, 2)}\n`);
    return 0;
  }
}
