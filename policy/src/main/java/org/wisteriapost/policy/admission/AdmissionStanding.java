package org.wisteriapost.policy.admission;

import java.util.Comparator;
import java.util.OptionalInt;

/**
 * The standing of a request among others that compete for slots.
 *
 * @param rank its declared rank
 * @param order the order in which waiting requests are served, lowest first
 * @param reservedSlots the slots of a runner that it leaves free for more urgent requests
 * @param organisationShare the share of its organisation's recent requests that were
 * admitted
 * @param contendedRank the most urgent rank that recently found no slot at any entry
 */
public record AdmissionStanding(int rank, int order, double reservedSlots, double organisationShare,
		OptionalInt contendedRank) {

	/** The standing of a request that does not compete. */
	public static final AdmissionStanding NONE = withoutCompetition(0);

	/** The order in which waiting requests are served; equal ones in order of arrival. */
	public static final Comparator<AdmissionStanding> FIRST_SERVED = Comparator.comparingInt(AdmissionStanding::order)
		.thenComparingDouble(AdmissionStanding::organisationShare);

	/**
	 * Returns the standing of a request while no other rank comes for its service.
	 */
	static AdmissionStanding withoutCompetition(int rank) {
		return new AdmissionStanding(rank, 0, 0, 0, OptionalInt.empty());
	}

}
