/**
 * Decisions on requests that an entry sends to runners itself: where each goes, which
 * waits, which is refused, and what becomes of one whose runner fails. No input, output,
 * threads or clock.
 */
package org.wisteriapost.policy.dispatch;
