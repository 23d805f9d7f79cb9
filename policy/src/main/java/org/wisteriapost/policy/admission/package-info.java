/**
 * Priority at admission when capacity is short: contention by rank, slots reserved for
 * more urgent ranks, shares of ranks and organisations, and hints when to retry.
 */
package org.wisteriapost.policy.admission;
