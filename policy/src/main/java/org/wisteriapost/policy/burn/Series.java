package org.wisteriapost.policy.burn;

/**
 * Whose requests to what are counted together.
 *
 * @param service the service called
 * @param organisation who called
 */
public record Series(String service, String organisation) {
}
