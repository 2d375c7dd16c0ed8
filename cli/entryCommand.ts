import { Command, Option } from 'clipanion';
import { createLog } from '../log/mod.ts';
import { startEntry } from '../programs/mod.ts';
import { readSettingsFile } from './_readInputFile.ts';
import { runUntilSignal } from './_runUntilSignal.ts';
import { startOrExit } from './_startOrExit.ts';

/** `hyssopspread entry`. */
export class EntryCommand extends Command {
  static override paths = [['entry']];

  static override usage = Command.Usage({
    description: 'Runs an entry, which accepts requests from callers.',
    examples: [['Start', '$0 entry --settings entry.ini']],
  });

  readonly settings = Option.String('--settings', {
    required: true,
    description: 'The settings file',
  });

  async execute(): Promise<number> {
    const result = readSettingsFile('entry', this.settings);
    if (result.kind === 'failure') {
      this.context.stderr.write(`${result.text}\n`);
      return 1;
    }
    const { settings, linkKeys } = result;
    const fields = { role: 'entry', host: settings.process.host };
    const log = createLog({ ...settings.log, fields });
    const running = await startOrExit(() => startEntry({ settings, linkKeys, log }));
    await runUntilSignal(running.leave);
    return 0;
  }
}
