/** Names of adapter versions, processes and exchanges. @module */
export { formatAdapterVersion, parseAdapterVersion } from './adapterVersion.ts';
export type { AdapterVersion, AdapterVersionParts } from './adapterVersion.ts';
export type { ExchangeName, Incarnation } from './incarnation.ts';
