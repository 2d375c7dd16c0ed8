/** Outcome of a call to a plain service. */
export type ServiceReply =
  | { readonly kind: 'answered'; readonly status: number; readonly body: string }
  /** The request did not reach the service. */
  | { readonly kind: 'unreached'; readonly detail: string }
  /** The connection was lost; the call may have run. */
  | { readonly kind: 'lost'; readonly detail: string };

/** Client of a plain service. */
export type PlainService = {
  /** Calls the service once; never rejects and never retries. */
  readonly call: (body: string) => Promise<ServiceReply>;
};
