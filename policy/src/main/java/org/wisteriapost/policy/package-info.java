/**
 * Decisions only: pure functions of state, event and time. No input or output, no
 * threads, no clock; an architecture test holds this.
 */
package org.wisteriapost.policy;
