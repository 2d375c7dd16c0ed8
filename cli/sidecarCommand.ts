import { Command, Option } from 'clipanion';
import { createLog } from '../log/mod.ts';
import { startSidecar } from '../programs/mod.ts';
import { readSettingsFile } from './_readInputFile.ts';
import { runUntilSignal } from './_runUntilSignal.ts';
import { startOrExit } from './_startOrExit.ts';

/** `hyssopspread sidecar`. */
export class SidecarCommand extends Command {
  static override paths = [['sidecar']];

  static override usage = Command.Usage({
    description: 'Runs a sidecar, which forwards requests from entries to its backend server.',
    examples: [['Start', '$0 sidecar --settings sidecar.ini']],
  });

  readonly settings = Option.String('--settings', {
    required: true,
    description: 'The settings file',
  });

  async execute(): Promise<number> {
    const result = readSettingsFile('sidecar', this.settings);
    if (result.kind === 'failure') {
      this.context.stderr.write(`${result.text}\n`);
      return 1;
    }
    const { settings, linkKeys } = result;
    const fields = { role: 'sidecar', host: settings.process.host };
    const log = createLog({ ...settings.log, fields });
    const running = await startOrExit(() => startSidecar({ settings, linkKeys, log }));
    await runUntilSignal(running.leave);
    return 0;
  }
}
