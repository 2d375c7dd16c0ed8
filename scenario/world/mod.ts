/** Discrete-event simulation of the product's processes on a virtual clock and network. @module */
export { ProcessGate } from './processGate.ts';
export { VirtualNetwork } from './virtualNetwork.ts';
export type { Endpoint, FrameInfo, FrameAction, VirtualNetworkOptions } from './virtualNetwork.ts';
export { VirtualWorld } from './virtualWorld.ts';
export type { VirtualWorldOptions, WorldProcess } from './virtualWorld.ts';
