package org.wisteriapost.entry.caller;

/**
 * The idempotency key of a call, with the time that its caller made it.
 *
 * @param text as the caller wrote it
 * @param issuedMillis milliseconds since 1970
 */
public record CallKey(String text, long issuedMillis) {
}
