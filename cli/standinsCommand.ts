import { Command, Option } from 'clipanion';
import { startStandins } from '../programs/mod.ts';
import { readSettingsFile } from './_readFileOrExplain.ts';
import { runUntilSignal } from './_runUntilSignal.ts';

/** `hyssopspread standins`. */
export class StandinsCommand extends Command {
  static override paths = [['standins']];

  static override usage = Command.Usage({
    description: 'Serves stand-ins of the platform, the engines and a plain service.',
    examples: [['Start', '$0 standins --settings standins.ini']],
  });

  readonly settings = Option.String('--settings', { required: true });

  async execute(): Promise<number> {
    const reading = readSettingsFile('standins', this.settings);
    if (reading.kind === 'refusal') {
      this.context.stderr.write(`${reading.text}\n`);
      return 1;
    }
    const running = await startStandins(reading.settings);
    const { platformPort, enginePorts, servicePort } = running;
    this.context.stdout.write(
      `platform ${platformPort}, engines ${enginePorts.join(' ')}, service ${servicePort}\n`,
    );
    await runUntilSignal(running.stop);
    return 0;
  }
}
