/** A random name that a process draws at each start; two starts never share one. */
export type Incarnation = string;

/** Names one exchange between an entry and a sidecar for its whole life. */
export type ExchangeName = string;
