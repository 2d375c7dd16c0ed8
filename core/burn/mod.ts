/** Error-budget burn of service-level objectives: counts, burn rates and histograms. @module */
export { BurnRecorder, OVERFLOW_LABEL } from './burnRecorder.ts';
export type { BurnRecorderOptions } from './burnRecorder.ts';
export { reportBurn, WINDOW_PAIRS } from './burnReport.ts';
export type {
  BurnReport,
  BurnShare,
  Coverage,
  MeasureSummary,
  MissingIncarnation,
  ObjectiveBurn,
  WindowBurn,
  WindowPair,
} from './burnReport.ts';
export { burnReportHtml } from './burnReportHtml.ts';
export { formatBurnReport } from './formatBurnReport.ts';
export { MetIncarnations } from './metIncarnations.ts';
export { causeOf, CAUSES } from './sample.ts';
export type { Cause, RequestSample } from './sample.ts';
export { readBurnSnapshot } from './snapshot.ts';
export type { BurnCount, BurnHistogram, BurnSlot, BurnSnapshot } from './snapshot.ts';
