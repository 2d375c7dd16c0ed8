/** A random id that a process generates at each start; unique to that start. */
export type Incarnation = string;

/** Identifies one exchange, a call and its events, between an entry and a sidecar. */
export type ExchangeId = string;
