/** HTTP clients of the configuration service and the host list that the product's own interface uses. @module */
export { createHttpConfiguration, createHttpHostList } from './createPublishing.ts';
