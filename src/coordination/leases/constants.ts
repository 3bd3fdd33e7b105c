/** Records asked for in one read of the stream of leases. */
export const leasePageSize = 1000;

/**
 * Share of a lease's duration by which its holder stops early. The clocks of holder and contender may run
 * apart by this share without two holders at once.
 */
export const safetyShare = 0.1;

/** A holder renews once this share of the duration has passed. */
export const renewalShare = 1 / 3;

/** A contender or holder looks again after this share of the duration. */
export const pollShare = 1 / 6;

/** The restatement of the configuration is one lease of the whole system. */
export const republicationLeaseName = "restatement";

/** The lease of a deployment's orders. */
export const orderLeaseName = (deployment: string): string => `orders/${deployment}`;
