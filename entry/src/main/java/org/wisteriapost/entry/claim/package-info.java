/**
 * Performs the platform reads and writes for claims on idempotency keys.
 */
package org.wisteriapost.entry.claim;
