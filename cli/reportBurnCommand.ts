import { writeFileSync } from 'node:fs';
import { Command, Option } from 'clipanion';
import { readBurnSnapshots } from '../admin/mod.ts';
import { burnReportHtml, formatBurnReport, reportBurn } from '../core/burn/mod.ts';
import { operatorToken } from './_operatorToken.ts';

/** `hyssopspread report burn`. */
export class ReportBurnCommand extends Command {
  static override paths = [['report', 'burn']];

  static override usage = Command.Usage({
    description: 'Reports what has consumed the error budgets, across processes.',
    details: 'Exits with 1 when a process does not respond, because the report is then incomplete.',
    examples: [
      ['Report as text', '$0 report burn http://127.0.0.1:8081 http://127.0.0.1:8082'],
      ['Write a page with plots', '$0 report burn --html burn.html http://127.0.0.1:8081'],
    ],
  });

  readonly json = Option.Boolean('--json', false);

  readonly html = Option.String('--html');

  readonly urls = Option.Rest({ required: 1 });

  async execute(): Promise<number> {
    const { snapshots, problems } = await readBurnSnapshots(this.urls, { token: operatorToken() });
    problems.forEach((problem) => this.context.stderr.write(`${problem}\n`));
    if (snapshots.length === 0) return 1;
    const report = reportBurn(snapshots);
    if (this.html !== undefined) writeFileSync(this.html, burnReportHtml(report));
    const text = this.json ? `${JSON.stringify(report, null, 2)}\n` : formatBurnReport(report);
    this.context.stdout.write(text);
    return problems.length === 0 ? 0 : 1;
  }
}
