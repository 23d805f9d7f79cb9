package org.wisteriapost.entry.caller;

/**
 * The idempotency key of a call, with the time at which the caller issued it.
 *
 * @param text the key as sent by the caller
 * @param issuedMillis the time of issue, in milliseconds since 1970
 */
public record IdempotencyKey(String text, long issuedMillis) {
}
