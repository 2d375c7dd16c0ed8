import type { BurnReport, BurnShare, ObjectiveBurn, WindowBurn } from './burnReport.ts';

const MINUTE_MS = 60_000;

function percent(share: number): string {
  return `${(share * 100).toFixed(1)}%`;
}

function minutes(time: number): string {
  return `${Math.round(time / MINUTE_MS)}m`;
}

function windowText(window: WindowBurn): string {
  const { windowMs, burnRate, bad, total } = window;
  return `${minutes(windowMs)} ${burnRate.toFixed(2)} (${bad}/${total})`;
}

function sharesText(shares: readonly BurnShare[]): string {
  if (shares.length === 0) return 'nothing';
  return shares.map(({ name, count }) => `${name} ${count}`).join(', ');
}

function objectiveLines(burn: ObjectiveBurn): readonly string[] {
  const measures = Object.entries(burn.measures).map(
    ([name, { p50, p95, p99 }]) => `  ${name} ms p50 ${p50} p95 ${p95} p99 ${p99}`,
  );
  const left = `${percent(burn.budgetLeft)} of the budget left`;
  return [
    `${burn.name} (${burn.tenant}, ${percent(burn.target)} within ${burn.firstTokenMs} ms): ${left}`,
    `  ${burn.bad} bad of ${burn.total}; ${burn.allowed} allowed, ${burn.overspent} above that`,
    ...burn.windows.map(
      ({ long, short, alarm }) =>
        `  burn rate ${windowText(long)}, ${windowText(short)}${alarm ? ' ACT NOW' : ''}`,
    ),
    `  by cause: ${sharesText(burn.byCause)}`,
    `  by adapter: ${sharesText(burn.byAdapter)}`,
    `  by availability zone: ${sharesText(burn.byAvailabilityZone)}`,
    ...measures,
  ];
}

function coverageLines(report: BurnReport): readonly string[] {
  return [
    ...report.coverage.map(({ host, windows }) => {
      const parts = windows.map(
        ({ windowMs, coveredShare }) => `${minutes(windowMs)} ${percent(coveredShare)}`,
      );
      return `covered by ${host}: ${parts.join(', ')}`;
    }),
    ...report.missing.map(
      ({ host, incarnation, ageMs }) =>
        `missing: ${host} incarnation ${incarnation}, last met ${minutes(ageMs)} ago`,
    ),
  ];
}

/** Formats a report as text. */
export function formatBurnReport(report: BurnReport): string {
  if (report.objectives.length === 0) {
    return 'no objective is in force; declare [objective NAME] in the set\n';
  }
  const lines = [
    ...report.objectives.flatMap(objectiveLines),
    `by tenant: ${sharesText(report.byTenant)}`,
    ...coverageLines(report),
  ];
  return `${lines.join('\n')}\n`;
}
