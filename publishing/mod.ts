/** HTTP clients of the platform's configuration service and host list. @module */
export { createHttpConfiguration, createHttpHostList } from './platformClients.ts';
