import { dirname, join } from 'node:path';
import { Command, Option } from 'clipanion';
import { packSet } from '../core/set/mod.ts';
import type { PackedValue } from '../core/set/mod.ts';
import { createLog } from '../log/mod.ts';
import { startStandins } from '../programs/mod.ts';
import type { Settings } from '../settings/mod.ts';
import { checkSetFiles } from './_checkSetFiles.ts';
import { readSettingsFile } from './_readInputFile.ts';
import type { Failure } from './_readInputFile.ts';
import { runUntilSignal } from './_runUntilSignal.ts';
import { startOrExit } from './_startOrExit.ts';

/** Reads, validates and packs the set that the settings name, if any. */
function packConfiguredSet(
  file: string,
  settings: Settings<'standins'>,
): { readonly kind: 'values'; readonly values: readonly PackedValue[] } | Failure {
  const { set, generation } = settings.platform;
  if (set === undefined) return { kind: 'values', values: [] };
  const result = checkSetFiles([join(dirname(file), set)]);
  if (result.kind === 'failure') return result;
  return { kind: 'values', values: packSet(result.objects, generation).values };
}

/** `hyssopspread standins`. */
export class StandinsCommand extends Command {
  static override paths = [['standins']];

  static override usage = Command.Usage({
    description: 'Runs stand-ins for the platform, the engines and a plain service.',
    examples: [['Start', '$0 standins --settings standins.ini']],
  });

  readonly settings = Option.String('--settings', {
    required: true,
    description: 'The settings file',
  });

  async execute(): Promise<number> {
    const result = readSettingsFile('standins', this.settings);
    if (result.kind === 'failure') {
      this.context.stderr.write(`${result.text}\n`);
      return 1;
    }
    const { settings } = result;
    const packed = packConfiguredSet(this.settings, settings);
    if (packed.kind === 'failure') {
      this.context.stderr.write(`${packed.text}\n`);
      return 1;
    }
    const log = createLog({ ...settings.log, fields: { role: 'standins' } });
    const running = await startOrExit(() => startStandins(settings, packed.values));
    const { platformPort, enginePorts, servicePort } = running;
    log('processStarted', { platformPort, enginePorts: enginePorts.join(' '), servicePort });
    await runUntilSignal(running.stop);
    log('processStopped');
    return 0;
  }
}
