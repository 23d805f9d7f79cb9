/**
 * Carries out what the decisions on idempotency keys ask of the platform.
 */
package org.wisteriapost.entry.claim;
