import { EXPECT_VERBS } from './_expectVerbs.ts';
import { FAULT_VERBS } from './_faultVerbs.ts';
import { REQUEST_VERBS } from './_requestVerbs.ts';
import { SETUP_VERBS } from './_setupVerbs.ts';
import type { VerbTable } from './_verb.ts';

/** All verbs of the scenario language. */
export const VERBS: VerbTable = {
  ...SETUP_VERBS,
  ...REQUEST_VERBS,
  ...FAULT_VERBS,
  ...EXPECT_VERBS,
};
