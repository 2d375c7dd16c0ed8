/** Reads, validates and formats the INI settings files of the commands. @module */
export { readLinkKey } from './readLinkKey.ts';
export type { LinkKeyResult, LinkKeySource } from './readLinkKey.ts';
export { formatSettings, maskSettings } from './formatSettings.ts';
export type { MaskedSettings } from './formatSettings.ts';
export { readSettings } from './readSettings.ts';
export type { SettingsResult } from './readSettings.ts';
export type { Address, Settings, SettingsRole } from './_schemas.ts';
