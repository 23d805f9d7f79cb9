package org.wisteriapost.policy.burn;

/**
 * Key under which requests are counted.
 *
 * @param service the service called
 * @param organisation the organisation that called it
 */
public record RequestSeries(String service, String organisation) {
}
