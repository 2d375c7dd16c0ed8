import type { ListedHost } from '../../core/membership/mod.ts';

/** A value of the configuration service, with its revision. */
export type ConfigurationValue = { readonly text: string; readonly revision: string };

/** Read-only client of the platform's configuration service. */
export type Configuration = {
  /** Reads a value; resolves to `undefined` if there is none, rejects if the service is down. */
  readonly read: (name: string) => Promise<ConfigurationValue | undefined>;
  /** Long poll: like `read`, once the revision differs or the service's time limit is reached. */
  readonly watch: (name: string, revision: string) => Promise<ConfigurationValue | undefined>;
};

/** The platform's list of hosts, which lags behind actual changes. */
export type HostList = {
  /** Reads the list; rejects if the service is down. */
  readonly read: () => Promise<readonly ListedHost[]>;
};
