package org.wisteriapost.entry.quarantine;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.function.Supplier;

import org.wisteriapost.policy.fleet.RendezvousHashing;
import org.wisteriapost.policy.quarantine.RequestQuarantine;
import org.wisteriapost.protocol.wire.SuspectReport;

/**
 * Exchanges suspect requests with other entries, so that a poison request which crashes a
 * runner through each entry in turn is recognised. Confined to the state thread.
 *
 * An entry tells what it learns to {@value #MAX_NEIGHBOURS} linked entries that it has
 * chosen and to those that have chosen it, which tell it on: knowledge reaches entries
 * that are cut off from its source, and its cost does not grow with the number of
 * entries. Each gets all changes that it was not sent, so one that was restarted, cut off
 * or behind a full link catches up.
 */
public final class SuspectExchange {

	/** The interval of reports, in ticks of 20 ms. */
	public static final int INTERVAL_TICKS = 5;

	static final int MAX_NEIGHBOURS = 8;

	// About 4 KB.
	private static final int MAX_UPDATES_PER_FRAME = 128;

	private final String self;

	private final RequestQuarantine quarantine;

	private final Supplier<Set<String>> linkedEntries;

	private final BiPredicate<String, SuspectReport> sender;

	private final Map<String, Long> sentChanges = new HashMap<>();

	private Set<String> knownLinked = Set.of();

	private List<String> chosen = List.of();

	private final Set<String> subscribers = new HashSet<>();

	private SuspectExchange(String self, RequestQuarantine quarantine, Supplier<Set<String>> linkedEntries,
			BiPredicate<String, SuspectReport> sender) {
		this.self = self;
		this.quarantine = quarantine;
		this.linkedEntries = linkedEntries;
		this.sender = sender;
	}

	/**
	 * Returns the exchange of one entry.
	 * @param self the name of the entry
	 * @param linkedEntries the names of the other entries with an established link
	 * @param sender sends a report to an entry by name; returns false if it could not be
	 * sent
	 */
	public static SuspectExchange of(String self, RequestQuarantine quarantine, Supplier<Set<String>> linkedEntries,
			BiPredicate<String, SuspectReport> sender) {
		return new SuspectExchange(self, quarantine, linkedEntries, sender);
	}

	/**
	 * Sends neighbours the changes that they lack, when that is due.
	 * @param ticks counts the ticks of the entry, 20 ms each
	 */
	public void tick(long ticks, long nowNanos) {
		if (ticks % INTERVAL_TICKS != 0) {
			return;
		}
		chooseNeighbours();
		this.chosen.forEach((peer) -> sendChanges(peer, nowNanos));
		this.subscribers.stream()
			.filter((peer) -> !this.chosen.contains(peer))
			.forEach((peer) -> sendChanges(peer, nowNanos));
	}

	/**
	 * Applies a report. Its sender has chosen this entry as a neighbour, or was chosen.
	 */
	public void reportReceived(String peer, SuspectReport report, long nowNanos) {
		this.subscribers.add(peer);
		SuspectReportCodec.merge(report, this.quarantine, peer, nowNanos);
	}

	/**
	 * Repeats everything to an entry whose link was established, which may have lost
	 * frames or its memory.
	 */
	public void linkEstablished(String peer) {
		this.sentChanges.remove(peer);
	}

	private void chooseNeighbours() {
		Set<String> linked = this.linkedEntries.get();
		if (!linked.equals(this.knownLinked)) {
			this.knownLinked = Set.copyOf(linked);
			this.chosen = RendezvousHashing.rank(linked, this.self).stream().limit(MAX_NEIGHBOURS).toList();
			this.subscribers.retainAll(linked);
			this.sentChanges.keySet().retainAll(linked);
		}
	}

	// The first report to a chosen neighbour may be empty: it subscribes to the
	// neighbour's changes.
	private void sendChanges(String peer, long nowNanos) {
		Long sent = this.sentChanges.get(peer);
		if (sent != null && sent == this.quarantine.lastChange()) {
			return;
		}
		RequestQuarantine.Updates updates = this.quarantine.updatesSince((sent != null) ? sent : 0, peer,
				MAX_UPDATES_PER_FRAME);
		boolean nothingNew = sent != null && updates.isEmpty();
		if (nothingNew || this.sender.test(peer, SuspectReportCodec.encode(updates, nowNanos))) {
			this.sentChanges.put(peer, updates.lastChange());
		}
	}

}
