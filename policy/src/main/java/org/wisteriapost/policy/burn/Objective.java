package org.wisteriapost.policy.burn;

/**
 * What a service promises its callers.
 *
 * @param name the section's name
 * @param service the service it is about
 * @param organisation whose requests it is about, {@code *} for everybody's
 * @param availability the share of requests that must be {@link Result#GOOD}
 * @param latencyMillis until the first byte of an answer; later is {@link Result#LATE}
 */
public record Objective(String name, String service, String organisation, double availability, long latencyMillis) {

	/** An objective about every organisation. */
	public static final String EVERYBODY = "*";

	/**
	 * Returns whether a request counts towards this objective.
	 */
	public boolean covers(String service, String organisation) {
		return this.service.equals(service)
				&& (this.organisation.equals(EVERYBODY) || this.organisation.equals(organisation));
	}

}
