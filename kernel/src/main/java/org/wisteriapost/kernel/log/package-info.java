/**
 * The log of decisions: one JSON line each, bounded in volume, never in the way of a
 * decision.
 */
package org.wisteriapost.kernel.log;
