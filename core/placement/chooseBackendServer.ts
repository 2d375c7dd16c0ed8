import type { AdapterVersion } from '../identity/mod.ts';
import { rendezvousOrder } from './rendezvousOrder.ts';

/** A backend server that could take a request. */
export type Candidate = {
  readonly host: string;
  readonly running: number;
  readonly waiting: number;
  readonly batchWidth: number;
  readonly isResident: boolean;
};

/** Load, as requests over batch width, above which the next candidate is asked. */
const SPILL_LOAD = 1.5;

function loadOf(candidate: Candidate): number {
  return (candidate.running + candidate.waiting) / candidate.batchWidth;
}

/**
 * Chooses a backend server for one request.
 *
 * @param adapterVersion What the request needs.
 * @param candidates Backend servers that may take it.
 * @returns The choice, or `undefined` when there is no candidate.
 */
export function chooseBackendServer(
  adapterVersion: AdapterVersion,
  candidates: readonly Candidate[],
): Candidate | undefined {
  const byHost = new Map(candidates.map((candidate) => [candidate.host, candidate]));
  const ordered = rendezvousOrder(adapterVersion, [...byHost.keys()]).map((host) =>
    byHost.get(host)!,
  );
  const fitting = ordered.filter((candidate) => loadOf(candidate) < SPILL_LOAD);
  return fitting.find((candidate) => candidate.isResident) ?? fitting[0] ?? ordered[0];
}
