import { Command, Option } from 'clipanion';
import { createLog } from '../log/mod.ts';
import { startSidecar } from '../programs/mod.ts';
import { readSettingsFile } from './_readFileOrExplain.ts';
import { runUntilSignal } from './_runUntilSignal.ts';
import { startOrExplain } from './_startOrExplain.ts';

/** `hyssopspread sidecar`. */
export class SidecarCommand extends Command {
  static override paths = [['sidecar']];

  static override usage = Command.Usage({
    description: 'Serves entries by the backend server beside it.',
    examples: [['Start', '$0 sidecar --settings sidecar.ini']],
  });

  readonly settings = Option.String('--settings', {
    required: true,
    description: 'The settings file',
  });

  async execute(): Promise<number> {
    const reading = readSettingsFile('sidecar', this.settings);
    if (reading.kind === 'refusal') {
      this.context.stderr.write(`${reading.text}\n`);
      return 1;
    }
    const { settings, linkKeys } = reading;
    const fields = { role: 'sidecar', host: settings.process.host };
    const log = createLog({ ...settings.log, fields });
    const running = await startOrExplain(() => startSidecar({ settings, linkKeys, log }));
    await runUntilSignal(running.leave);
    return 0;
  }
}
