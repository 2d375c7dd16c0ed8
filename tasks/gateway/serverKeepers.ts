import type { ServerKeeper } from '../../core/streamOrigins/mod.ts';
import type { KeptMessage } from './keeperLinks.ts';

/** The processes beside the servers, and the links to them. */
export type ServerKeepers = {
  readonly all: () => readonly ServerKeeper[];
  readonly isOpen: (address: string) => boolean;
  readonly send: (address: string, message: KeptMessage) => void;
};
