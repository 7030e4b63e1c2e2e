/** Bounds that several rules share. */

/** Rules that say "about": the bound of the brief and a tenth. */
export const ABOUT = 1.1;
/** ms. Within which new work keeps to a change, and to a deregistration. */
export const KEPT_WITHIN = 2_000;
