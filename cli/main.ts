import { Builtins, Cli } from 'clipanion';
import { BenchCapacityCommand } from './benchCapacityCommand.ts';
import { BenchLimitsCommand } from './benchLimitsCommand.ts';
import { BenchDecideCommand } from './benchDecideCommand.ts';
import { BenchPolicyCapacityCommand } from './benchPolicyCapacityCommand.ts';
import { BenchPathCommand } from './benchPathCommand.ts';
import { BenchPolicyCommand } from './benchPolicyCommand.ts';
import { BenchSetCommand } from './benchSetCommand.ts';
import { BenchRecoveryCommand } from './benchRecoveryCommand.ts';
import { DemoCommand } from './demoCommand.ts';
import { DeploymentCheckCommand } from './deploymentCheckCommand.ts';
import { EntryCommand } from './entryCommand.ts';
import { ExplainCommand } from './explainCommand.ts';
import { LogsTraceCommand } from './logsTraceCommand.ts';
import { ReportBurnCommand } from './reportBurnCommand.ts';
import { ScenarioRunCommand } from './scenarioRunCommand.ts';
import { SetCheckCommand } from './setCheckCommand.ts';
import { SetDiffCommand } from './setDiffCommand.ts';
import { SetPackCommand } from './setPackCommand.ts';
import { SetShowCommand } from './setShowCommand.ts';
import { SettingsCheckCommand } from './settingsCheckCommand.ts';
import { SidecarCommand } from './sidecarCommand.ts';
import { StandinsCommand } from './standinsCommand.ts';
import { StatusCommand } from './statusCommand.ts';
import { USAGE_EXIT_CODE } from './_reportUsageError.ts';

const cli = new Cli({
  binaryLabel: 'hyssopspread',
  binaryName: 'hyssopspread',
  binaryVersion: '0.1.0',
  // Keeps escape codes out of output that is not a terminal.
  enableColors: process.stdout.isTTY === true,
});

[
  Builtins.HelpCommand,
  Builtins.VersionCommand,
  BenchCapacityCommand,
  BenchLimitsCommand,
  BenchDecideCommand,
  BenchPolicyCapacityCommand,
  BenchPathCommand,
  BenchPolicyCommand,
  BenchSetCommand,
  BenchRecoveryCommand,
  DemoCommand,
  DeploymentCheckCommand,
  EntryCommand,
  ExplainCommand,
  LogsTraceCommand,
  ReportBurnCommand,
  ScenarioRunCommand,
  SetCheckCommand,
  SetDiffCommand,
  SetPackCommand,
  SetShowCommand,
  SettingsCheckCommand,
  SidecarCommand,
  StandinsCommand,
  StatusCommand,
].forEach((command) => cli.register(command));

/** Runs a command line and returns its exit code. */
async function run(parameters: readonly string[]): Promise<number> {
  if (parameters.length === 0) {
    process.stderr.write(cli.usage());
    return USAGE_EXIT_CODE;
  }
  let command: ReturnType<typeof cli.process>;
  try {
    command = cli.process([...parameters], Cli.defaultContext);
  } catch (error) {
    process.stderr.write(cli.error(error));
    return USAGE_EXIT_CODE;
  }
  return cli.run(command, Cli.defaultContext);
}

run(process.argv.slice(2))
  .then((code) => {
    process.exitCode = code;
  })
  .catch((error: unknown) => {
    process.stderr.write(`${String(error)}\n`);
    process.exitCode = 1;
  });
