/** Records requested in one read of the leases stream. */
export const leasePageSize = 1000;

/**
 * Share of a lease's duration by which its holder stops early. The clocks of holder and contender may drift apart
 * by this share without two holders at once.
 */
export const safetyShare = 0.1;

/** A holder renews after this share of the duration. */
export const renewalShare = 1 / 3;

/** A contender or holder polls at this share of the duration. */
export const pollShare = 1 / 6;

/** The whole system has one lease for the republication of the configuration. */
export const republicationLeaseName = "restatement";

/** The lease under which a router sends orders to a deployment. */
export const orderLeaseName = (deployment: string): string => `orders/${deployment}`;
