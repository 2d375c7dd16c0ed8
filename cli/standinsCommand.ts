import { dirname, join } from 'node:path';
import { Command, Option } from 'clipanion';
import { packSet } from '../core/set/mod.ts';
import type { PackedValue } from '../core/set/mod.ts';
import { createLog } from '../log/mod.ts';
import { startStandins } from '../programs/mod.ts';
import type { Settings } from '../settings/mod.ts';
import { checkSetFiles } from './_checkSetFiles.ts';
import { readSettingsFile } from './_readFileOrExplain.ts';
import type { Refusal } from './_readFileOrExplain.ts';
import { runUntilSignal } from './_runUntilSignal.ts';
import { startOrExplain } from './_startOrExplain.ts';

/** Reads, checks and packs the set that the settings name, if any. */
function readPublication(
  file: string,
  settings: Settings<'standins'>,
): { readonly kind: 'values'; readonly values: readonly PackedValue[] } | Refusal {
  const { set, generation } = settings.platform;
  if (set === undefined) return { kind: 'values', values: [] };
  const check = checkSetFiles([join(dirname(file), set)]);
  if (check.kind === 'refusal') return check;
  return { kind: 'values', values: packSet(check.objects, generation).values };
}

/** `hyssopspread standins`. */
export class StandinsCommand extends Command {
  static override paths = [['standins']];

  static override usage = Command.Usage({
    description: 'Serves stand-ins of the platform, the engines and a plain service.',
    examples: [['Start', '$0 standins --settings standins.ini']],
  });

  readonly settings = Option.String('--settings', {
    required: true,
    description: 'The settings file',
  });

  async execute(): Promise<number> {
    const reading = readSettingsFile('standins', this.settings);
    if (reading.kind === 'refusal') {
      this.context.stderr.write(`${reading.text}\n`);
      return 1;
    }
    const { settings } = reading;
    const publication = readPublication(this.settings, settings);
    if (publication.kind === 'refusal') {
      this.context.stderr.write(`${publication.text}\n`);
      return 1;
    }
    const log = createLog({ ...settings.log, fields: { role: 'standins' } });
    const running = await startOrExplain(() => startStandins(settings, publication.values));
    const { platformPort, enginePorts, servicePort } = running;
    log('processStarted', { platformPort, enginePorts: enginePorts.join(' '), servicePort });
    await runUntilSignal(running.stop);
    log('processStopped');
    return 0;
  }
}
