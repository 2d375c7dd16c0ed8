import { createLog } from '../../log/mod.ts';
import type { Log } from '../../log/mod.ts';
import { SETTINGS_FILE_VARIABLE } from '../../platform/mod.ts';
import type { ProcessSettings } from '../../platform/mod.ts';
import { COMPILED_CODE_VARIABLE } from './compiledCode.ts';
import { realClock } from '../../transport/mod.ts';
import { METRICS_PORT } from './serveMetrics.ts';
import { SettingsFile } from './settingsFile.ts';
import { startGateway } from './startGateway.ts';
import type { Running } from './startGateway.ts';
import { startKeeper } from './startKeeper.ts';

type Start = (settings: ProcessSettings, log: Log, metricsPort: number) => Promise<Running>;

const ROLES: Readonly<Record<string, Start>> = {
  entry: startGateway,
  sidecar: startKeeper,
};

const WRONG_USE = 2;

/** Lets a process serve what it has; one that is still starting has nothing. */
async function stop(running: Running | undefined): Promise<void> {
  await running?.leave();
}

async function main(role: string): Promise<void> {
  const start = ROLES[role];
  const path = process.env[SETTINGS_FILE_VARIABLE];
  if (start === undefined || path === undefined) {
    process.stderr.write(
      `role "${role}": give one of ${Object.keys(ROLES).join(', ')}, and the settings file's path in ${SETTINGS_FILE_VARIABLE}\n`,
    );
    process.exitCode = WRONG_USE;
    return;
  }
  const file = new SettingsFile(path);
  const log = createLog({ stream: 'output', fields: { role, host: file.first.host } });
  let running: Running | undefined;
  process.on('SIGHUP', () => {
    file.look().catch((error: unknown) => log('settingsWrong', { error: String(error) }));
  });
  process.once('SIGTERM', () => {
    log('processStopping');
    stop(running)
      .catch((error: unknown) => log('internalError', { error: String(error) }))
      .finally(() => {
        log('processStopped');
        process.exit(0);
      });
  });
  running = await start(file.first, log, METRICS_PORT);
  file.start({ clock: realClock, log, changed: (settings) => running?.applySettings(settings) });
  const compiledCode = process.env[COMPILED_CODE_VARIABLE] ?? 'none';
  log('processStarted', { tookMs: Math.round(performance.now()), compiledCode });
}

// Without a reader of the log the process goes on; an error of the log can't be logged.
process.stdout.on('error', () => undefined);

process.on('uncaughtException', (error) => {
  process.stdout.write(`${JSON.stringify({ level: 'error', message: String(error.stack) })}\n`);
});

main(process.argv[2] ?? '').catch((error: unknown) => {
  process.stderr.write(`${String(error)}\n`);
  process.exitCode = 1;
});
