import type { ListedHost } from '../core/membership/mod.ts';
import { explainPlacement } from '../tasks/entry/mod.ts';
import type { EntryInspection, EntryTask, LinkStatus } from '../tasks/entry/mod.ts';
import { namesAfter } from './_paging.ts';
import type { Row } from './_paging.ts';
import type { AdminSource } from './adminSource.ts';
import type { RecentEvents } from './recentEvents.ts';

function hostState(
  { membership }: EntryInspection,
  member: ListedHost,
  status: LinkStatus | undefined,
): { readonly state: string; readonly why: string } {
  if (member.state === 'leaving') return { state: 'leaving', why: 'the host list says leaving' };
  if (member.role === 'entry') return { state: 'listed', why: 'the host list names it' };
  if (status === undefined) return { state: 'suspected', why: 'no link has been ready yet' };
  if (!membership.mayTakeWork(member.host, status.incarnation)) {
    return { state: 'leaving', why: 'its sidecar reports leaving' };
  }
  if (status.health === 'ready') return { state: 'up', why: 'its link is ready' };
  if (status.health === 'suspected') return { state: 'suspected', why: 'its link is silent' };
  return { state: 'suspected', why: 'its link is lost and is dialed again' };
}

function* hostRows(inspection: EntryInspection, after: string): Iterable<Row> {
  const statuses = new Map(inspection.statuses.map((status) => [status.host, status]));
  const members = new Map(inspection.membership.members.map((member) => [member.host, member]));
  for (const host of namesAfter(members.keys(), after)) {
    const member = members.get(host)!;
    yield { key: host, ...member, ...hostState(inspection, member, statuses.get(host)) };
  }
}

function* linkRows({ statuses }: EntryInspection, after: string): Iterable<Row> {
  const byHost = new Map(statuses.map((status) => [status.host, status]));
  for (const host of namesAfter(byHost.keys(), after)) {
    const { health, incarnation, peerSet, report } = byHost.get(host)!;
    const { resident, ...load } = report;
    yield {
      key: host,
      host,
      health,
      incarnation,
      generation: peerSet.generation,
      digest: peerSet.digest,
      ...load,
      resident: resident.length,
    };
  }
}

function* residenceRows({ statuses }: EntryInspection, after: string): Iterable<Row> {
  const byHost = new Map(statuses.map((status) => [status.host, status]));
  const firstHost = after.split(' ')[0] ?? '';
  for (const host of [...byHost.keys()].filter((name) => name >= firstHost).sort()) {
    for (const adapterVersion of [...byHost.get(host)!.report.resident].sort()) {
      const key = `${host} ${adapterVersion}`;
      if (key > after) yield { key, host, adapterVersion };
    }
  }
}

function* limitRows({ limits }: EntryInspection, after: string): Iterable<Row> {
  const byTenant = new Map(limits.map((use) => [use.tenant, use]));
  for (const tenant of namesAfter(byTenant.keys(), after)) {
    yield { key: tenant, ...byTenant.get(tenant)! };
  }
}

/**
 * Creates the administration API's data source for an entry.
 *
 * @param task The entry's task.
 * @param events The latest log events.
 */
export function createEntrySource(task: EntryTask, events: RecentEvents): AdminSource {
  return {
    status: () => task.status(),
    holdsWholeSet: true,
    burn: () => task.burn(),
    set: () => task.inspect().set,
    explain: (model, tenant) => explainPlacement(task.inspect(), model, tenant),
    lists: {
      hosts: (after) => hostRows(task.inspect(), after),
      links: (after) => linkRows(task.inspect(), after),
      residence: (after) => residenceRows(task.inspect(), after),
      limits: (after) => limitRows(task.inspect(), after),
      events: (after) => events.after(after),
    },
  };
}
