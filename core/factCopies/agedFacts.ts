import type { Milliseconds } from '../clock/mod.ts';
import type { QuarantineUpdate } from '../quarantine/mod.ts';
import type { LimitRecord } from '../serverLimits/mod.ts';
import type { NoticeRecord } from '../serverNotices/mod.ts';

/** Facts that entries tell each other, as a copy that another process keeps; a kind is absent if there are none. */
export type FactCopy = {
  /** Traits that several requests share. */
  readonly quarantine?: QuarantineUpdate | undefined;
  /** Single requests. */
  readonly requests?: QuarantineUpdate | undefined;
  readonly limits?: readonly LimitRecord[] | undefined;
  readonly notices?: readonly NoticeRecord[] | undefined;
};

function older<Fact extends { readonly ageMs: Milliseconds }>(
  facts: readonly Fact[],
  elapsedMs: Milliseconds,
): readonly Fact[] {
  return facts.map((fact) => ({ ...fact, ageMs: fact.ageMs + elapsedMs }));
}

function olderQuarantine(
  update: QuarantineUpdate | undefined,
  elapsedMs: Milliseconds,
): QuarantineUpdate | undefined {
  return (
    update && {
      ends: older(update.ends, elapsedMs),
      clearances: older(update.clearances, elapsedMs),
      verdicts: older(update.verdicts, elapsedMs),
    }
  );
}

/** Returns a copy as it must be told some time after it was made. */
export function agedFacts(copy: FactCopy, elapsedMs: Milliseconds): FactCopy {
  return {
    quarantine: olderQuarantine(copy.quarantine, elapsedMs),
    requests: olderQuarantine(copy.requests, elapsedMs),
    limits: copy.limits && older(copy.limits, elapsedMs),
    notices: copy.notices?.map((notice) => ({
      ...notice,
      pauseLeftMs: Math.max(0, notice.pauseLeftMs - elapsedMs),
    })),
  };
}
