import type { Outcome } from '../../core/outcome/mod.ts';

/** How a request ended. */
export type OutcomeKind = Outcome['kind'];
