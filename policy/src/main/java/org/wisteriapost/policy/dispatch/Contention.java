package org.wisteriapost.policy.dispatch;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import org.wisteriapost.policy.admission.ContentionByRank;
import org.wisteriapost.policy.admission.ContentionReport;
import org.wisteriapost.policy.admission.ReservedSlots;

/**
 * The services at which requests that could still be answered in time find no free slot,
 * at this entry or at its peers.
 *
 * Under a lasting shortage each entry has free slots in view now and then. Were it to
 * judge by its own requests alone, it would give these slots to requests that are late
 * already, while its peers refuse requests that could be in time.
 */
public final class Contention {

	/**
	 * How long a service counts as contended after a request found no slot. An entry
	 * refuses about one request per second under a moderate shortage.
	 */
	static final Duration WINDOW = Duration.ofSeconds(1);

	private final Map<String, Long> ownNanos = new HashMap<>();

	private final Map<String, Long> peersNanos = new HashMap<>();

	private final ContentionByRank byRank = new ContentionByRank();

	private final ReservedSlots reservedSlots = new ReservedSlots(this.byRank);

	Contention() {
	}

	/**
	 * Records that a request of this entry that could be in time found no slot.
	 */
	void noFreeSlot(String service, int rank, long nowNanos) {
		this.ownNanos.put(service, nowNanos);
		this.byRank.noFreeSlot(service, rank, nowNanos);
	}

	/**
	 * Records what a peer has reported.
	 */
	public void reported(String peer, ContentionReport report, long nowNanos) {
		reported(report.service(), report.ago(), nowNanos);
		this.byRank.reported(peer, report, nowNanos);
	}

	/**
	 * Returns what to report to the peers. Services without contention are left out.
	 */
	public List<ContentionReport> ownReports(long nowNanos) {
		return this.byRank.own(nowNanos);
	}

	/**
	 * Returns which ranks find no slot.
	 */
	public ContentionByRank byRank() {
		return this.byRank;
	}

	/**
	 * Returns the slots that stay free for more urgent requests.
	 */
	public ReservedSlots reservedSlots() {
		return this.reservedSlots;
	}

	/**
	 * Records what a peer has reported.
	 * @param ago the time since a request of the peer found no slot
	 */
	public void reported(String service, Duration ago, long nowNanos) {
		if (ago.compareTo(WINDOW) < 0) {
			this.peersNanos.merge(service, nowNanos - ago.toNanos(), Math::max);
		}
	}

	/**
	 * Returns the time since a request of this entry found no slot, by service. Services
	 * without contention are left out.
	 */
	public Map<String, Duration> own(long nowNanos) {
		removeExpired(this.ownNanos, nowNanos);
		Map<String, Duration> own = new TreeMap<>();
		this.ownNanos.forEach((service, nanos) -> own.put(service, Duration.ofNanos(nowNanos - nanos)));
		return own;
	}

	/**
	 * Returns the services whose slots are needed for requests that could be in time.
	 */
	public Set<String> services(long nowNanos) {
		removeExpired(this.ownNanos, nowNanos);
		removeExpired(this.peersNanos, nowNanos);
		Set<String> services = new TreeSet<>(this.ownNanos.keySet());
		services.addAll(this.peersNanos.keySet());
		return services;
	}

	boolean active(String service, long nowNanos) {
		return recent(this.ownNanos.get(service), nowNanos) || recent(this.peersNanos.get(service), nowNanos);
	}

	private static void removeExpired(Map<String, Long> times, long nowNanos) {
		times.values().removeIf((nanos) -> !recent(nanos, nowNanos));
	}

	private static boolean recent(Long nanos, long nowNanos) {
		return nanos != null && nowNanos - nanos < WINDOW.toNanos();
	}

}
