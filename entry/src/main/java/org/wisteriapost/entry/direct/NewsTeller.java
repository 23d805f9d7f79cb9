package org.wisteriapost.entry.direct;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;

import org.wisteriapost.policy.routing.LastConfirmedTime;
import org.wisteriapost.protocol.wire.Frame;
import org.wisteriapost.protocol.wire.News;
import org.wisteriapost.protocol.wire.NewsRequest;

/**
 * Sends news to the entries that hear the store from this one. Used by the state thread
 * alone.
 *
 * Each frame has a number, by which a hearer finds what a full link has left out, and
 * says how old this entry's routes are.
 */
final class NewsTeller {

	private final BiConsumer<String, Frame> sender;

	private final LongSupplier clock;

	private final Set<String> hearers = new HashSet<>();

	// Of all that are linked, also of those that hear no more: if the word of it is lost,
	// the number of the next frame shows it.
	private final Map<String, Told> told = new HashMap<>();

	private final LastConfirmedTime confirmed = new LastConfirmedTime();

	/**
	 * Returns the teller of one entry.
	 * @param sender sends a frame to an entry by name
	 */
	NewsTeller(BiConsumer<String, Frame> sender, LongSupplier clock) {
		this.sender = sender;
		this.clock = clock;
	}

	/**
	 * Hears as of when this entry has read the store's routes.
	 */
	void confirmed(long asOfNanos) {
		this.confirmed.confirmed(asOfNanos);
	}

	/**
	 * Hears that this VM was suspended: how old its routes are is not known until they
	 * are confirmed again.
	 */
	void suspended(long nowNanos) {
		this.confirmed.discardBefore(nowNanos);
	}

	/**
	 * Forgets all to which there is no link.
	 */
	void keep(Collection<String> linked) {
		this.hearers.retainAll(linked);
		this.told.keySet().retainAll(linked);
	}

	void add(String peer) {
		this.hearers.add(peer);
	}

	void remove(String peer) {
		this.hearers.remove(peer);
	}

	void clear() {
		this.hearers.clear();
	}

	/**
	 * Returns whether nobody hears the store from here.
	 */
	boolean unheard() {
		return this.hearers.isEmpty();
	}

	/**
	 * Returns the entries that hear the store from here.
	 */
	List<String> hearers() {
		return List.copyOf(this.hearers);
	}

	/**
	 * Returns whether an entry says what its clock is, as a process of an older version
	 * does not.
	 */
	boolean stamps(String peer) {
		return of(peer).stamp.isPresent();
	}

	/**
	 * Hears what an entry says of its own clock.
	 */
	void stamped(String peer, NewsRequest request) {
		of(peer).stamp = request.hasStamp() ? OptionalLong.of(request.getStamp()) : OptionalLong.empty();
	}

	/**
	 * Answers an entry that wants to go on hearing news. One that is not among the
	 * hearers any more is told a number that it does not expect, so it finds that it has
	 * missed something and asks again.
	 */
	void sign(String peer, News sign) {
		if (!this.hearers.contains(peer)) {
			of(peer).frames++;
		}
		send(peer, sign);
	}

	/**
	 * Tells all hearers. The objects are shared by the frames to all.
	 */
	void tell(News said) {
		hearers().forEach((peer) -> send(peer, said));
	}

	/**
	 * Tells one entry.
	 */
	void send(String peer, News said) {
		Told before = of(peer);
		before.frames++;
		News.Builder news = said.toBuilder().setSequence(before.frames);
		before.stamp.ifPresent(news::setStamp);
		if (said.getCurrent()) {
			this.confirmed.nanos().ifPresent((asOf) -> news.setAgeMillis(ageMillis(asOf)));
		}
		this.sender.accept(peer, Frame.newBuilder().setNews(news).build());
	}

	// Rounded up: an age must not be said too low.
	private long ageMillis(long asOfNanos) {
		long nanos = Math.max(0, this.clock.getAsLong() - asOfNanos);
		return Math.ceilDiv(nanos, TimeUnit.MILLISECONDS.toNanos(1));
	}

	private Told of(String peer) {
		return this.told.computeIfAbsent(peer, (name) -> new Told());
	}

	/** What one entry was told. */
	private static final class Told {

		private long frames;

		// The latest that came from there, by its own clock.
		private OptionalLong stamp = OptionalLong.empty();

	}

}
