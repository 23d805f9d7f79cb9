/**
 * Decisions as pure functions of state, event and time: no I/O, threads or clock, which
 * an architecture test enforces.
 */
package org.wisteriapost.policy;
