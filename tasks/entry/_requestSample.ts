import type { RequestSample } from '../../core/burn/mod.ts';
import type { Milliseconds } from '../../core/clock/mod.ts';
import type { Call } from '../../core/link/mod.ts';
import type { Outcome } from '../../core/outcome/mod.ts';
import type { OpenRequest } from './_openRequest.ts';

function subjectOf(call: Call): string {
  return call.kind === 'completion' ? call.adapterVersion : call.service;
}

/** Notes that a part of the answer came. */
export function noteToken(request: OpenRequest, now: Milliseconds): void {
  request.times.firstTokenAt ??= now;
  request.times.lastTokenAt = now;
}

/**
 * Describes a finished request to the burn recorder.
 *
 * @param request The request.
 * @param outcome How it ended.
 * @param availabilityZone Where it was served.
 */
export function requestSample(
  request: OpenRequest,
  outcome: Outcome,
  availabilityZone: string,
): RequestSample {
  const { call, isAbandoned, startedAt, tenant, times, tokens } = request;
  const { firstTokenAt, lastTokenAt, loadStallMs, queuedMs } = times;
  const sample = { tenant, adapter: subjectOf(call), availabilityZone, outcome, isAbandoned };
  if (firstTokenAt === undefined || lastTokenAt === undefined) {
    return { ...sample, loadStallMs, queuedMs };
  }
  return {
    ...sample,
    loadStallMs,
    queuedMs,
    firstTokenMs: firstTokenAt - startedAt,
    betweenTokensMs: tokens > 1 ? (lastTokenAt - firstTokenAt) / (tokens - 1) : undefined,
  };
}
