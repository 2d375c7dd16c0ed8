import { Command, Option } from 'clipanion';
import { checkDeployment, compareDeployments } from '../core/deploymentCheck/mod.ts';
import type { CheckedDeployment, Finding } from '../core/deploymentCheck/mod.ts';
import { decodeDeployment, decodeTenantKeys } from '../platform/mod.ts';
import { readTextFile } from './_readInputFile.ts';
import { reportUsageError, USAGE_EXIT_CODE } from './_reportUsageError.ts';

type ReadDeployment =
  | ({ readonly kind: 'deployment' } & CheckedDeployment)
  | { readonly kind: 'invalid'; readonly findings: readonly Finding[] }
  | { readonly kind: 'unreadable'; readonly text: string };

type SchemaIssue = { readonly path: readonly PropertyKey[]; readonly message: string };

function issuesOf(error: unknown): readonly SchemaIssue[] {
  if (typeof error === 'object' && error !== null && 'issues' in error) {
    return error.issues as readonly SchemaIssue[];
  }
  return [{ path: [], message: error instanceof Error ? error.message : String(error) }];
}

function readDeployment(name: string): ReadDeployment {
  const file = readTextFile(name);
  if (file.kind === 'failure') return { kind: 'unreadable', text: file.text };
  const bytes = Buffer.from(file.text);
  try {
    const deployment = decodeDeployment(bytes);
    return { kind: 'deployment', deployment, tenants: decodeTenantKeys(bytes) };
  } catch (error) {
    const findings = issuesOf(error).map(({ path, message }): Finding => ({
      severity: 'error',
      place: path.length === 0 ? 'the file' : path.map(String).join('.'),
      text: message,
      remedy: 'Correct the value; the store accepts only valid configurations',
    }));
    return { kind: 'invalid', findings };
  }
}

function parseServerCounts(texts: readonly string[]): ReadonlyMap<string, number> | undefined {
  const counts = texts.map((text) => /^(.+)=(\d+)$/.exec(text));
  if (counts.some((match) => match === null)) return undefined;
  return new Map(counts.map((match) => [match![1]!, Number(match![2])]));
}

/** `hyssopspread deployment check`. */
export class DeploymentCheckCommand extends Command {
  static override paths = [['deployment', 'check']];

  static override usage = Command.Usage({
    description: "Checks an operator's configuration before it is published.",
    details:
      'Prints errors, entries that can never match, limits that contradict each other, and what differs ' +
      'from the version in force. Keys are counted and never printed. Exits with 0 when nothing is found, ' +
      '1 when there are errors or warnings, 2 when a file cannot be read.',
    examples: [
      ['Check a configuration', '$0 deployment check new.json'],
      ['Compare it with the version in force', '$0 deployment check --in-force old.json new.json'],
    ],
  });

  readonly inForce = Option.String('--in-force', { description: 'The configuration in force' });

  readonly servers = Option.Array('--servers', [], {
    description: 'SERVICE=COUNT: backend servers of a service; repeat it for each service',
  });

  readonly memoryMb = Option.String('--memory-mb', '0', {
    description: 'Memory of the smallest entry, in MB',
  });

  readonly json = Option.Boolean('--json', false, { description: 'Print JSON' });

  readonly file = Option.String({ name: 'FILE' });

  async execute(): Promise<number> {
    const serverCounts = parseServerCounts(this.servers);
    const memoryMb = Number(this.memoryMb);
    if (serverCounts === undefined) {
      return reportUsageError(this.context, '--servers must have the form SERVICE=COUNT');
    }
    if (!Number.isFinite(memoryMb) || memoryMb < 0) {
      return reportUsageError(this.context, `--memory-mb "${this.memoryMb}" is not a size in MB`);
    }
    const proposed = readDeployment(this.file);
    const inForce = this.inForce === undefined ? undefined : readDeployment(this.inForce);
    const unreadable = [proposed, inForce].find((each) => each?.kind === 'unreadable');
    if (unreadable?.kind === 'unreadable') {
      this.context.stderr.write(`${unreadable.text}\n`);
      return USAGE_EXIT_CODE;
    }
    if (inForce?.kind === 'invalid') {
      this.context.stderr.write(
        `${this.inForce}: not a valid configuration; name the one in force\n`,
      );
      return USAGE_EXIT_CODE;
    }
    const findings =
      proposed.kind === 'deployment'
        ? checkDeployment(proposed.deployment, {
            tenants: proposed.tenants,
            serverCounts,
            memoryMb,
          })
        : (proposed as Extract<ReadDeployment, { kind: 'invalid' }>).findings;
    const differences =
      proposed.kind === 'deployment' && inForce?.kind === 'deployment'
        ? compareDeployments(inForce, proposed)
        : [];
    this.#print(findings, differences);
    return findings.length === 0 ? 0 : 1;
  }

  #print(findings: readonly Finding[], differences: readonly string[]): void {
    if (this.json) {
      this.context.stdout.write(`${JSON.stringify({ findings, differences }, null, 2)}\n`);
      return;
    }
    findings.forEach(({ severity, place, text, remedy }) =>
      this.context.stdout.write(`${severity}: ${place}: ${text}. ${remedy}.\n`),
    );
    differences.forEach((line) => this.context.stdout.write(`differs: ${line}\n`));
  }
}
