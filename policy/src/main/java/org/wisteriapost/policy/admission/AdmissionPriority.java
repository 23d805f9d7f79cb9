package org.wisteriapost.policy.admission;

import java.util.Optional;
import java.util.OptionalInt;

/**
 * Determines the standing of requests that compete for the slots of a service. Only while
 * requests of different ranks come for the service is any of them preferred.
 *
 * A rank yields to more urgent ones while these find no slot. Within a rank, an
 * organisation with more than its fair share of the admissions yields to the others while
 * requests of the rank find no slot. A rank or organisation that is hardly served yields
 * to nobody.
 */
public final class AdmissionPriority {

	// Requests without an organisation share as one.
	private static final String NO_ORGANISATION = "";

	private final ContentionByRank contention;

	private final ReservedSlots reservedSlots;

	private final RankShares ranks = new RankShares();

	private final OrganisationShares organisations = new OrganisationShares();

	public AdmissionPriority(ContentionByRank contention, ReservedSlots reservedSlots) {
		this.contention = contention;
		this.reservedSlots = reservedSlots;
	}

	/**
	 * Records that a request has arrived.
	 */
	public void arrived(String service, int rank, Optional<String> organisation, long nowNanos) {
		this.ranks.arrived(service, rank, nowNanos);
		this.organisations.arrived(service, rank, organisation.orElse(NO_ORGANISATION), nowNanos);
	}

	/**
	 * Records that a request is sent to its first runner.
	 */
	public void admitted(String service, int rank, Optional<String> organisation, long nowNanos) {
		this.ranks.admitted(service, rank, nowNanos);
		this.organisations.admitted(service, rank, organisation.orElse(NO_ORGANISATION), nowNanos);
	}

	/**
	 * Returns the standing of a request now.
	 */
	public AdmissionStanding standing(String service, int rank, Optional<String> organisation, long nowNanos) {
		if (!this.ranks.several(service, nowNanos)) {
			return AdmissionStanding.withoutCompetition(rank);
		}
		OptionalInt contended = this.contention.mostUrgent(service, nowNanos);
		String name = organisation.orElse(NO_ORGANISATION);
		double share = this.organisations.admittedShare(service, rank, name, nowNanos);
		if (rank > 0 && this.ranks.belowMinimum(service, rank, nowNanos)) {
			return new AdmissionStanding(rank, 0, 0, share, contended);
		}
		boolean yields = contended.isPresent() && contended.getAsInt() <= rank
				&& this.organisations.aboveFairShare(service, rank, name, nowNanos);
		// An organisation above its share leaves as many slots free as the next rank.
		int reservedRank = Math.min(ContentionByRank.LAST_RANK, rank + (yields ? 1 : 0));
		return new AdmissionStanding(rank, 2 * rank + (yields ? 1 : 0),
				this.reservedSlots.reserved(service, reservedRank, nowNanos), share, contended);
	}

	/**
	 * Returns the share of the slots that become free which is left for a rank.
	 */
	public double slotShare(AdmissionStanding standing, String service, long nowNanos) {
		return (standing.reservedSlots() > 0) ? this.ranks.leftByMoreUrgent(service, standing.rank(), nowNanos) : 1;
	}

}
