/** The decisions under load that a deployment's settings enable; without them routers decide as if they did not exist. */
export interface LoadFeatures {
  /** Whether organisations and request classes share the capacity of a service under overload. */
  readonly fairShares: boolean;
  /**
   * Learned speeds of replicas are used for a service whose slowest and fastest replica differ by this factor or more;
   * `undefined` if they are never used.
   */
  readonly minSpeedSpread: number | undefined;
  /** Whether placement counts the memory of running requests. */
  readonly batchMemory: boolean;
}

/** The features of a deployment whose settings enable none. */
export const noLoadFeatures: LoadFeatures = {
  fairShares: false,
  minSpeedSpread: undefined,
  batchMemory: false,
};
