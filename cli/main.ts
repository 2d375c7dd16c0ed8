import { Builtins, Cli } from 'clipanion';
import { BenchCapacityCommand } from './benchCapacityCommand.ts';
import { BenchLimitsCommand } from './benchLimitsCommand.ts';
import { BenchPolicyCommand } from './benchPolicyCommand.ts';
import { DemoCommand } from './demoCommand.ts';
import { EntryCommand } from './entryCommand.ts';
import { ExplainCommand } from './explainCommand.ts';
import { ReportBurnCommand } from './reportBurnCommand.ts';
import { ScenarioRunCommand } from './scenarioRunCommand.ts';
import { SetCheckCommand } from './setCheckCommand.ts';
import { SetPackCommand } from './setPackCommand.ts';
import { SettingsCheckCommand } from './settingsCheckCommand.ts';
import { SidecarCommand } from './sidecarCommand.ts';
import { StandinsCommand } from './standinsCommand.ts';
import { StatusCommand } from './statusCommand.ts';

const cli = new Cli({
  binaryLabel: 'hyssopspread',
  binaryName: 'hyssopspread',
  binaryVersion: '0.1.0',
});

[
  Builtins.HelpCommand,
  Builtins.VersionCommand,
  BenchCapacityCommand,
  BenchLimitsCommand,
  BenchPolicyCommand,
  DemoCommand,
  EntryCommand,
  ExplainCommand,
  ReportBurnCommand,
  ScenarioRunCommand,
  SetCheckCommand,
  SetPackCommand,
  SettingsCheckCommand,
  SidecarCommand,
  StandinsCommand,
  StatusCommand,
].forEach((command) => cli.register(command));

/** The exit code of a wrong command line. */
const WRONG_USE = 2;

cli
  .run(process.argv.slice(2), Cli.defaultContext)
  .then((code) => {
    process.exitCode = code;
  })
  .catch((error: unknown) => {
    process.stderr.write(`${String(error)}\n`);
    process.exitCode = WRONG_USE;
  });
