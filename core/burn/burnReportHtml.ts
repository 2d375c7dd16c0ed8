import type { BurnReport, BurnShare, ObjectiveBurn } from './burnReport.ts';
import { formatBurnReport } from './formatBurnReport.ts';

const WIDTH = 720;
const HEIGHT = 120;
const BAR_HEIGHT = 18;
const LABEL_WIDTH = 260;

const ESCAPES: Readonly<Record<string, string>> = {
  '&': '&amp;',
  '<': '&lt;',
  '>': '&gt;',
  '"': '&quot;',
  "'": '&#39;',
};

function escapeHtml(text: string): string {
  return text.replace(/[&<>"']/g, (character) => ESCAPES[character]!);
}

function plotCourse(course: readonly number[]): string {
  const most = Math.max(1, ...course);
  const y = (rate: number): string => (HEIGHT - (rate / most) * HEIGHT).toFixed(1);
  const points = course.map(
    (rate, index) => `${((index / (course.length - 1)) * WIDTH).toFixed(1)},${y(rate)}`,
  );
  return [
    `<svg viewBox="0 0 ${WIDTH} ${HEIGHT}" width="${WIDTH}" height="${HEIGHT}" role="img">`,
    `<title>Burn rate over six hours, at most ${most.toFixed(2)}</title>`,
    `<line x1="0" x2="${WIDTH}" y1="${y(1)}" y2="${y(1)}" stroke="#999" stroke-dasharray="4"/>`,
    `<polyline fill="none" stroke="#06c" stroke-width="2" points="${points.join(' ')}"/>`,
    '</svg>',
  ].join('\n');
}

function plotShares(title: string, shares: readonly BurnShare[]): string {
  const most = Math.max(1, ...shares.map((share) => share.count));
  const bars = shares.map(({ name, count }, index) => {
    const width = ((count / most) * (WIDTH - LABEL_WIDTH - 60)).toFixed(1);
    const top = index * (BAR_HEIGHT + 4);
    const base = top + BAR_HEIGHT - 4;
    return [
      `<text x="0" y="${base}">${escapeHtml(name)}</text>`,
      `<rect x="${LABEL_WIDTH}" y="${top}" width="${width}" height="${BAR_HEIGHT}" fill="#c60"/>`,
      `<text x="${LABEL_WIDTH + Number(width) + 4}" y="${base}">${count}</text>`,
    ].join('');
  });
  const height = Math.max(1, shares.length) * (BAR_HEIGHT + 4);
  const svg = `<svg viewBox="0 0 ${WIDTH} ${height}" width="${WIDTH}" height="${height}">`;
  return `<h3>${title}</h3>\n${svg}${bars.join('')}</svg>`;
}

function objectiveSection(burn: ObjectiveBurn): string {
  return [
    `<h2>${escapeHtml(burn.name)}: ${(burn.budgetLeft * 100).toFixed(1)}% of the budget left</h2>`,
    plotCourse(burn.course),
    plotShares('By cause', burn.byCause),
    plotShares('By adapter', burn.byAdapter),
    plotShares('By availability zone', burn.byAvailabilityZone),
  ].join('\n');
}

/** Formats a report as a self-contained HTML page. */
export function burnReportHtml(report: BurnReport): string {
  return [
    '<!doctype html>',
    '<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>',
    '<style>body{font:14px sans-serif;margin:2em}svg{font:12px sans-serif}</style></head><body>',
    '<h1>Service-level burn</h1>',
    ...report.objectives.map(objectiveSection),
    '<h2>As text</h2>',
    `<pre>${escapeHtml(formatBurnReport(report))}</pre>`,
    '</body></html>',
    '',
  ].join('\n');
}
