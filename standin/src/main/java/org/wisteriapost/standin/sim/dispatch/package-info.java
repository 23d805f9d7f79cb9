/**
 * Seeded simulation of the dispatch of a site's entries: the production dispatcher of
 * many entries against simulated model engines and callers in virtual time.
 */
package org.wisteriapost.standin.sim.dispatch;
