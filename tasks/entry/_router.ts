import type { Membership } from '../../core/membership/mod.ts';
import { chooseBackendServer } from '../../core/placement/mod.ts';
import type { PublishedSet } from '../../core/set/mod.ts';
import type { OpenRequest } from './_openRequest.ts';
import type { LinkStatus } from './linkTask.ts';

/** What the choice of a host looks at. */
export type RouterView = {
  readonly set: PublishedSet | undefined;
  readonly membership: Membership;
  readonly statuses: Iterable<LinkStatus>;
};

function serves(
  set: PublishedSet | undefined,
  status: LinkStatus,
  key: 'pool' | 'service',
  name: string,
): boolean {
  return set?.backendServers.get(status.report.backendServer)?.[key] === name;
}

/** Returns the hosts that may take a request. */
function usableHosts(view: RouterView, request: OpenRequest): readonly LinkStatus[] {
  const { destination, tried } = request;
  return [...view.statuses].filter(
    (status) =>
      status.health === 'ready' &&
      !tried.has(status.host) &&
      (destination.kind === 'host'
        ? status.host === destination.host
        : view.membership.mayTakeWork(status.host, status.incarnation)),
  );
}

/**
 * Chooses the host that a request is sent to.
 *
 * @param view What is known of hosts.
 * @param request The request; hosts that it has tried are left out.
 * @returns The host, or `undefined` when none can be reached.
 */
export function chooseHost(view: RouterView, request: OpenRequest): string | undefined {
  const { set } = view;
  const { destination } = request;
  const usable = usableHosts(view, request);
  if (destination.kind === 'host') return usable[0]?.host;
  if (destination.kind === 'service') {
    return usable.find((status) => serves(set, status, 'service', destination.service))?.host;
  }
  const candidates = usable
    .filter((status) => serves(set, status, 'pool', destination.pool))
    .map(({ host, report }) => ({
      host,
      running: report.running,
      waiting: report.waiting,
      batchWidth: report.batchWidth,
      isResident: report.resident.includes(destination.adapterVersion),
    }));
  return chooseBackendServer(destination.adapterVersion, candidates)?.host;
}
