/** Names a stream: the request that brought its first event. */
export type StreamKey = {
  readonly service: string;
  /** Id that the caller gave the request. */
  readonly requestId: string;
};

/** The software version of the server at which a stream began. */
export type StreamOrigin = StreamKey & {
  readonly version: string;
  /** Unique id of the process that began the stream. */
  readonly beganBy: string;
};
