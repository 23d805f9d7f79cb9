package org.wisteriapost.policy.admission;

import java.util.Optional;
import java.util.OptionalInt;

/**
 * Determines the standing of requests that compete for the slots of a service.
 *
 * A rank yields to more urgent ones while these find no slot. Within a rank, an
 * organisation with more than its fair share of the admissions yields to the others while
 * requests of the rank find no slot. A rank or organisation that is hardly served yields
 * to nobody.
 */
public final class AdmissionPriority {

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
		organisation.ifPresent((name) -> this.organisations.arrived(service, rank, name, nowNanos));
	}

	/**
	 * Records that a request is sent to its first runner.
	 */
	public void admitted(String service, int rank, Optional<String> organisation, long nowNanos) {
		this.ranks.admitted(service, rank, nowNanos);
		organisation.ifPresent((name) -> this.organisations.admitted(service, rank, name, nowNanos));
	}

	/**
	 * Returns the standing of a request now.
	 */
	public AdmissionStanding standing(String service, int rank, Optional<String> organisation, long nowNanos) {
		OptionalInt contended = this.contention.mostUrgent(service, nowNanos);
		double share = organisation.map((name) -> this.organisations.admittedShare(service, rank, name, nowNanos))
			.orElse(0.0);
		if (rank > 0 && this.ranks.belowMinimum(service, rank, nowNanos)) {
			return new AdmissionStanding(rank, 0, 0, share, contended);
		}
		boolean yields = contended.isPresent() && contended.getAsInt() <= rank
				&& organisation.map((name) -> this.organisations.aboveFairShare(service, rank, name, nowNanos))
					.orElse(false);
		// An organisation above its share leaves as many slots free as the next rank.
		int reservedRank = rank + (yields ? 1 : 0);
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
