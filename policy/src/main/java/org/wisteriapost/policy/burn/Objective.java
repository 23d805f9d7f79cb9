package org.wisteriapost.policy.burn;

/**
 * A service-level objective for the requests of an organisation to a service.
 *
 * @param name name of the settings section
 * @param service the service covered
 * @param organisation the organisation covered, {@code *} for all
 * @param availability share of requests that must be {@link RequestResult#GOOD}
 * @param latencyMillis maximum time to the first byte of a response; a later response is
 * {@link RequestResult#LATE}
 */
public record Objective(String name, String service, String organisation, double availability, long latencyMillis) {

	/** Matches every organisation. */
	public static final String ALL_ORGANISATIONS = "*";

	/**
	 * Returns whether the requests of an organisation to a service count towards this
	 * objective.
	 */
	public boolean covers(String service, String organisation) {
		return this.service.equals(service)
				&& (this.organisation.equals(ALL_ORGANISATIONS) || this.organisation.equals(organisation));
	}

}
