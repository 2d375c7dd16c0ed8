import type { RequestSample } from '../../core/burn/mod.ts';
import type { Milliseconds } from '../../core/clock/mod.ts';
import type { Call } from '../../core/link/mod.ts';
import type { Outcome } from '../../core/outcome/mod.ts';
import type { OpenRequest } from './_openRequest.ts';

function targetOf(call: Call): string {
  return call.kind === 'completion' ? call.adapterVersion : call.service;
}

/** Records that tokens of the response arrived. */
export function recordTokenTime(request: OpenRequest, now: Milliseconds): void {
  request.timings.firstTokenAt ??= now;
  request.timings.lastTokenAt = now;
}

/**
 * Builds the burn recorder's sample of a finished request.
 *
 * @param request The request.
 * @param outcome How it ended.
 * @param availabilityZone The zone of the host that served it.
 */
export function createRequestSample(
  request: OpenRequest,
  outcome: Outcome,
  availabilityZone: string,
): RequestSample {
  const { call, isAbandoned, startedAt, tenant, timings, tokens } = request;
  const { firstTokenAt, lastTokenAt, loadStallMs, queuedMs } = timings;
  const sample = { tenant, adapter: targetOf(call), availabilityZone, outcome, isAbandoned };
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
