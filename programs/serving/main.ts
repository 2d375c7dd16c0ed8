import { createLog } from '../../log/mod.ts';
import type { Log } from '../../log/mod.ts';
import { SETTINGS_FILE_VARIABLE } from '../../platform/mod.ts';
import type { ProcessSettings } from '../../platform/mod.ts';
import { COMPILED_CODE_VARIABLE } from './compiledCode.ts';
import { realClock } from '../../transport/mod.ts';
import { METRICS_PORT } from './serveMetrics.ts';
import { SettingsFile } from './settingsFile.ts';
import { startGateway } from './startGateway.ts';
import type { ServingProcess } from './startGateway.ts';
import { startKeeper } from './startKeeper.ts';

type StartRole = (
  settings: ProcessSettings,
  log: Log,
  metricsPort: number,
) => Promise<ServingProcess>;

const ROLES: Readonly<Record<string, StartRole>> = {
  entry: startGateway,
  sidecar: startKeeper,
};

const USAGE_EXIT_CODE = 2;

function describeError(error: Error): string {
  return error.stack ?? String(error);
}

/** Reports an error that nothing has caught; the process goes on. */
let reportUncaught = (error: Error): void => {
  process.stdout.write(`${JSON.stringify({ level: 'error', message: describeError(error) })}\n`);
};

/** Drains and stops a process; one that is still starting has nothing to drain. */
async function shutDown(running: ServingProcess | undefined): Promise<void> {
  await running?.leave();
}

async function main(role: string): Promise<void> {
  const start = ROLES[role];
  const path = process.env[SETTINGS_FILE_VARIABLE];
  if (start === undefined || path === undefined) {
    process.stderr.write(
      `cannot start role "${role}": pass one of ${Object.keys(ROLES).join(', ')}, and set ${SETTINGS_FILE_VARIABLE} to the path of the settings file\n`,
    );
    process.exitCode = USAGE_EXIT_CODE;
    return;
  }
  const file = new SettingsFile(path);
  const log = createLog({ stream: 'output', fields: { role, host: file.initial.host } });
  reportUncaught = (error) => log('internalError', { error: describeError(error) });
  let running: ServingProcess | undefined;
  process.on('SIGHUP', () => {
    file.reload().catch((error: unknown) => log('settingsWrong', { error: String(error) }));
  });
  process.once('SIGTERM', () => {
    log('processStopping');
    shutDown(running)
      .catch((error: unknown) => log('internalError', { error: String(error) }))
      .finally(() => {
        log('processStopped');
        process.exit(0);
      });
  });
  running = await start(file.initial, log, METRICS_PORT);
  file.start({ clock: realClock, log, onChange: (settings) => running?.applySettings(settings) });
  const compiledCode = process.env[COMPILED_CODE_VARIABLE] ?? 'none';
  log('processStarted', { tookMs: Math.round(performance.now()), compiledCode });
}

// The process keeps running if nobody reads its log; errors of the log stream can't be logged.
process.stdout.on('error', () => undefined);

process.on('uncaughtException', (error) => reportUncaught(error));

main(process.argv[2] ?? '').catch((error: unknown) => {
  process.stderr.write(`${String(error)}\n`);
  process.exitCode = 1;
});
