/** Names of adapter versions, processes and exchanges. @module */
export { formatAdapterVersion, parseAdapterVersion } from './adapterVersion.ts';
export type { AdapterVersion, AdapterVersionParts } from './adapterVersion.ts';
export type { ExchangeId, Incarnation } from './incarnation.ts';
