import type { ListedHost } from '../../core/membership/mod.ts';

/** A value of the configuration service. */
export type ConfigurationValue = { readonly text: string; readonly revision: string };

/** The platform's configuration service, which can only be read and watched. */
export type Configuration = {
  /** Reads a value; resolves to `undefined` when there is none and rejects when it is down. */
  readonly read: (name: string) => Promise<ConfigurationValue | undefined>;
  /** Resolves like `read` once the revision differs, or after the service's own time limit. */
  readonly watch: (name: string, revision: string) => Promise<ConfigurationValue | undefined>;
};

/** The platform's late list of hosts. */
export type HostList = {
  /** Reads the list; rejects when it is down. */
  readonly read: () => Promise<readonly ListedHost[]>;
};
