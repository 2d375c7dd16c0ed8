import type { PublishedSet } from '../core/set/mod.ts';
import type { SidecarTask } from '../tasks/sidecar/mod.ts';
import { namesAfter } from './_paging.ts';
import type { Row } from './_paging.ts';
import type { AdminSource } from './adminSource.ts';
import type { RecentEvents } from './recentEvents.ts';

function* residenceRows(task: SidecarTask, after: string): Iterable<Row> {
  const { identity, report } = task.status();
  for (const adapterVersion of namesAfter(report.resident, after)) {
    yield { key: adapterVersion, host: identity.host, adapterVersion };
  }
}

/**
 * Creates the administration API's data source for a sidecar.
 *
 * @param task The sidecar's task.
 * @param events The latest log events.
 * @param set Returns the set in force, which declares the operators.
 */
export function createSidecarSource(
  task: SidecarTask,
  events: RecentEvents,
  set: () => PublishedSet | undefined,
): AdminSource {
  return {
    status: () => task.status(),
    holdsWholeSet: false,
    burn: () => task.burn(),
    set,
    lists: {
      residence: (after) => residenceRows(task, after),
      events: (after) => events.after(after),
    },
  };
}
