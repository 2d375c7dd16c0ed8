/** Settings of processes in INI. @module */
export { readLinkKey } from './readLinkKey.ts';
export type { LinkKeyReading, LinkKeySource } from './readLinkKey.ts';
export { formatSettings, maskSettings } from './formatSettings.ts';
export type { ShownSettings } from './formatSettings.ts';
export { readSettings } from './readSettings.ts';
export type { SettingsReading } from './readSettings.ts';
export type { Address, Settings, SettingsRole } from './_schemas.ts';
