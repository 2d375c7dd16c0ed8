import { parseKey } from '../../core/idempotency/mod.ts';
import type { Call } from '../../core/link/mod.ts';
import { notRun } from '../../core/outcome/mod.ts';
import type { NotRun } from '../../core/outcome/mod.ts';
import { resolveModel } from '../../core/set/mod.ts';
import type { PublishedSet } from '../../core/set/mod.ts';
import type { Destination } from './_openRequest.ts';
import type { CallerRequest, CompletionRequest, ServiceRequest } from './request.ts';

/** The call that serves a request, and the hosts that may receive it. */
export type CallPlan = {
  readonly kind: 'plan';
  readonly call: Call;
  readonly destination: Destination;
};

function planCompletion(
  set: PublishedSet,
  tenant: string,
  request: CompletionRequest,
): CallPlan | NotRun {
  const model = resolveModel(set, request.model, tenant);
  if (model.kind === 'not-run') return model;
  const { prompt, maxTokens, priority } = request;
  const { adapterVersion, pool } = model;
  return {
    kind: 'plan',
    call: { kind: 'completion', adapterVersion, tenant, prompt, maxTokens, priority },
    destination: { kind: 'pool', pool: pool.name, adapterVersion },
  };
}

function planService(
  set: PublishedSet,
  tenant: string,
  request: ServiceRequest,
): CallPlan | NotRun {
  const service = set.services.get(request.service);
  if (service === undefined || (service.tenant !== tenant && !service.shared)) {
    return notRun(
      'not-found',
      `service "${request.service}" is unknown or not shared with your tenant; correct its name`,
    );
  }
  if (request.kind === 'mint-key') {
    return {
      kind: 'plan',
      call: { ...request, tenant },
      destination: { kind: 'service', service: service.name },
    };
  }
  const keyParts = parseKey(request.key);
  if (keyParts === undefined) {
    const endpoint = `POST /v1/services/${service.name}/keys`;
    return notRun('bad-request', `the idempotency key is malformed; create one with ${endpoint}`);
  }
  const call: Call =
    request.kind === 'service-call'
      ? { ...request, tenant, mayBegin: true }
      : { ...request, tenant };
  return { kind: 'plan', call, destination: { kind: 'host', host: keyParts.host } };
}

/**
 * Turns a caller's request into a call, resolving all names against the same set.
 *
 * @param set The set in force.
 * @param tenant The caller's tenant.
 * @param request The caller's request.
 */
export function planCall(
  set: PublishedSet,
  tenant: string,
  request: CallerRequest,
): CallPlan | NotRun {
  if (request.kind === 'completion') return planCompletion(set, tenant, request);
  return planService(set, tenant, request);
}
