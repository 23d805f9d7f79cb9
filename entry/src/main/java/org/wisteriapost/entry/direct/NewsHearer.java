package org.wisteriapost.entry.direct;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Predicate;

import org.wisteriapost.kernel.log.DecisionLog;
import org.wisteriapost.protocol.site.Kind;
import org.wisteriapost.protocol.wire.Frame;
import org.wisteriapost.protocol.wire.News;
import org.wisteriapost.protocol.wire.NewsRequest;

/**
 * What an entry has heard from those that it asked for news, and whether something is
 * missing. Used by the state thread alone.
 *
 * A link that is full leaves frames out. Harm prevented: a change that was left out would
 * stay unknown until the object changes again, while the signs that follow say that all
 * is well, and proper requests would be rejected by an old route table. The numbers of
 * the frames show what is missing; then all kinds count as not delivered, and the entry
 * is asked again until they are. That is enough: a kind that comes whole after the gap
 * holds what was lost in it.
 *
 * A large answer takes longer than any pause on a narrow link. Harm prevented: asked for
 * again while it is under way, each copy is sent behind the one before, and the link
 * stays full of them. Frames come in the order in which they were sent, and the other
 * entry sends all parts of an answer at once; so a later frame that echoes the stamp of
 * the request, or a later one, proves that the answer has passed, and so does a gap. Only
 * then is it asked again. That is enough: as long as neither comes, a frame that only
 * keeps alive brings the proof also when the request itself was lost.
 */
final class NewsHearer {

	private static final long PAUSE_NANOS = Duration.ofMillis(300).toNanos();

	// One of an older version echoes no stamp. Its answer may take longer than the first
	// pause on a narrow link, which one for each request would keep full.
	private static final long LONGEST_PAUSE_NANOS = Duration.ofMillis(1200).toNanos();

	// An age beyond it is no age that a moment could be reckoned from.
	private static final long LONGEST_AGE_MILLIS = Duration.ofHours(1).toMillis();

	private final KnownObjects known;

	private final LongSupplier clock;

	private final DecisionLog log;

	private final Map<String, Subscription> subscriptions = new HashMap<>();

	/**
	 * Returns the hearer of one entry.
	 * @param known what others need not send
	 */
	NewsHearer(KnownObjects known, LongSupplier clock, DecisionLog log) {
		this.known = known;
		this.clock = clock;
		this.log = log;
	}

	/**
	 * Returns the frame by which another entry is asked for everything from now on. While
	 * something is missing that it was asked for, the pauses go on, and while its answer
	 * is under way it is only told that it is still wanted.
	 */
	Frame ask(String peer) {
		Subscription open = this.subscriptions.get(peer);
		if (open == null || open.whole()) {
			Subscription begun = new Subscription(this.clock.getAsLong());
			this.subscriptions.put(peer, begun);
			return request(begun);
		}
		open.quietNanos = this.clock.getAsLong();
		return open.waits() ? alive(open) : request(open);
	}

	/**
	 * Forgets all that are not believed any more.
	 */
	void keep(Predicate<String> believed) {
		this.subscriptions.keySet().removeIf(believed.negate());
	}

	/**
	 * Forgets an entry that says it is not current.
	 */
	void forget(String peer) {
		this.subscriptions.remove(peer);
	}

	/**
	 * Hears that there is a new link to another entry, which may be a new process: the
	 * old numbers mean nothing any more.
	 */
	void linked(String peer) {
		this.subscriptions.computeIfPresent(peer, (name, before) -> Subscription.anew(this.clock.getAsLong()));
	}

	/**
	 * Hears the number and the stamp of a frame. A process of an older version says none.
	 */
	void counted(String peer, News news) {
		Subscription heard = of(peer);
		if (!news.getAll() && heard.answers(news)) {
			heard.passed(this.clock.getAsLong());
		}
		heard.version = (news.hasStamp() && news.getSequence() != 0) ? Version.ECHOES : Version.OLDER;
		if (news.getSequence() != 0) {
			counted(peer, heard, news);
		}
	}

	// What is missing before a frame that was sent before the last request arrived comes
	// with the answer to that.
	private void counted(String peer, Subscription heard, News news) {
		long sequence = news.getSequence();
		if (heard.sequence != 0 && sequence != heard.sequence + 1) {
			this.log.failure("news-missed", "peer", peer, "frames", Math.max(0, sequence - heard.sequence - 1));
			heard.delivered.clear();
			heard.missed = true;
			heard.underWay &= !heard.answers(news);
		}
		heard.sequence = sequence;
	}

	/**
	 * Hears that all objects of a kind have come from another entry.
	 */
	void delivered(String peer, Kind kind) {
		Subscription heard = of(peer);
		heard.delivered.add(kind);
		heard.quietNanos = this.clock.getAsLong();
		if (heard.whole()) {
			heard.pauseNanos = PAUSE_NANOS;
			heard.askedForAll = false;
		}
	}

	/**
	 * Hears that another entry has left out the content of objects that are not known
	 * here any more: a kind without them would have routes and runners missing until they
	 * change. It is asked for everything, unless frames are missing since it was asked:
	 * the objects came with those, and it does not know yet what is known here.
	 */
	void lacking(String peer, Kind kind, News news) {
		this.log.failure("news-lacking", "peer", peer, "kind", kind);
		Subscription heard = of(peer);
		heard.delivered.remove(kind);
		heard.askedForAll |= !heard.missed;
		heard.underWay &= !heard.answers(news);
	}

	/**
	 * Hears that objects of a kind are not known here any more that others may have told:
	 * a listing that was begun before that has landed. None of them would be told again
	 * until it changes, and callers be refused for want of a runner. All that are heard
	 * are asked again, which is enough: their answer holds whatever is not known here.
	 */
	void dropped(Kind kind) {
		this.subscriptions.values()
			.stream()
			.filter((heard) -> heard.delivered.remove(kind))
			.forEach((heard) -> heard.due(this.clock.getAsLong()));
	}

	/**
	 * Returns whether nothing of a kind that another entry has said is missing.
	 */
	boolean has(String peer, Kind kind) {
		return this.subscriptions.containsKey(peer) && of(peer).delivered.contains(kind);
	}

	/**
	 * Returns whether nothing that another entry has said is missing.
	 */
	boolean whole(String peer) {
		return this.subscriptions.containsKey(peer) && of(peer).whole();
	}

	/**
	 * Returns as of when the store's routes are known here by what another entry says;
	 * empty when it does not say it or something before it is missing.
	 *
	 * The stamp was taken here before the other entry said how old its routes are, so
	 * time on the way makes them seem older, never younger.
	 */
	OptionalLong asOf(String peer, News news) {
		Subscription heard = of(peer);
		boolean said = news.hasStamp() && news.hasAgeMillis() && news.getAgeMillis() >= 0
				&& news.getAgeMillis() <= LONGEST_AGE_MILLIS;
		if (!said || !heard.sent(news.getStamp()) || !heard.delivered.contains(Kind.ROUTES)) {
			return OptionalLong.empty();
		}
		heard.asOf(news.getStamp() - TimeUnit.MILLISECONDS.toNanos(news.getAgeMillis()));
		return heard.asOfNanos;
	}

	/**
	 * Returns the newest moment that was returned for an entry since it was asked.
	 */
	OptionalLong asOf(String peer) {
		return Optional.ofNullable(this.subscriptions.get(peer))
			.map((heard) -> heard.asOfNanos)
			.orElse(OptionalLong.empty());
	}

	/**
	 * Returns the frame by which another entry is told that its news are still wanted;
	 * empty when it does not count its frames: one of an older version would answer with
	 * everything.
	 */
	Optional<Frame> keepAlive(String peer) {
		Subscription heard = of(peer);
		if (heard.sequence == 0) {
			return Optional.empty();
		}
		return Optional.of(alive(heard));
	}

	/**
	 * Returns the entries that are heard.
	 */
	Collection<String> heard() {
		return List.copyOf(this.subscriptions.keySet());
	}

	/**
	 * Returns the frame by which an entry is asked once more, when something is missing
	 * that is not under way and the pause is over.
	 */
	Optional<Frame> again(String peer) {
		Subscription heard = of(peer);
		long now = this.clock.getAsLong();
		// Who has said something is kept alive in any case.
		boolean quiet = heard.waits() && heard.version != Version.UNKNOWN;
		if (heard.whole() || quiet || now - heard.quietNanos < heard.pauseNanos) {
			return Optional.empty();
		}
		heard.quietNanos = now;
		heard.pauseNanos = Math.min(LONGEST_PAUSE_NANOS, heard.pauseNanos * 2);
		if (heard.waits()) {
			return Optional.of(alive(heard));
		}
		this.log.decision("news-asked-again", "peer", peer, "missing", heard.missing());
		return Optional.of(request(heard));
	}

	// Who hears it answers by one sign, which comes after all that was sent before.
	private Frame alive(Subscription of) {
		return request(of, NewsRequest.newBuilder().setKeepAlive(true));
	}

	private Frame request(Subscription of) {
		NewsRequest.Builder request = NewsRequest.newBuilder();
		of.missed = false;
		if (!of.askedForAll) {
			request.addAllKnown(this.known.revisions());
		}
		Frame frame = request(of, request);
		of.requestNanos = of.stampNanos;
		of.underWay = true;
		return frame;
	}

	private Frame request(Subscription of, NewsRequest.Builder request) {
		of.stampNanos = OptionalLong.of(this.clock.getAsLong());
		request.setWanted(true).setStamp(of.stampNanos.getAsLong());
		return Frame.newBuilder().setNewsRequest(request).build();
	}

	// One may be believed again after it was forgotten; it is asked then.
	private Subscription of(String peer) {
		return this.subscriptions.computeIfAbsent(peer, (name) -> new Subscription(this.clock.getAsLong()));
	}

	/** What has come from one entry since it was asked first. */
	private static final class Subscription {

		private final Set<Kind> delivered = EnumSet.noneOf(Kind.class);

		private final long begunNanos;

		private OptionalLong stampNanos = OptionalLong.empty();

		// The stamp of the last request for objects.
		private OptionalLong requestNanos = OptionalLong.empty();

		// Whether nothing proves yet that the answer to it has passed.
		private boolean underWay;

		private Version version = Version.UNKNOWN;

		private long sequence;

		// Since when neither it was asked nor a part of an answer came.
		private long quietNanos;

		private long pauseNanos = PAUSE_NANOS;

		// Whether frames are missing since the last request.
		private boolean missed;

		private boolean askedForAll;

		private OptionalLong asOfNanos = OptionalLong.empty();

		private Subscription(long nowNanos) {
			this.begunNanos = nowNanos;
			this.quietNanos = nowNanos;
		}

		private void asOf(long nanos) {
			if (this.asOfNanos.isEmpty() || nanos - this.asOfNanos.getAsLong() > 0) {
				this.asOfNanos = OptionalLong.of(nanos);
			}
		}

		private static Subscription anew(long nowNanos) {
			Subscription anew = new Subscription(nowNanos);
			anew.due(nowNanos);
			return anew;
		}

		// To be asked for what is missing at once, or when what is under way has passed.
		private void due(long nowNanos) {
			this.quietNanos = nowNanos - this.pauseNanos;
		}

		// Whether a stamp is one of these: one of a former process of this name counts on
		// another clock.
		private boolean sent(long stamp) {
			return this.stampNanos.isPresent() && stamp - this.begunNanos >= 0
					&& this.stampNanos.getAsLong() - stamp >= 0;
		}

		// Whether a frame was sent after the last request had arrived. One without a
		// stamp proves nothing.
		private boolean answers(News news) {
			return news.hasStamp() && sent(news.getStamp()) && this.requestNanos.isPresent()
					&& news.getStamp() - this.requestNanos.getAsLong() >= 0;
		}

		// When nothing has come before the proof, the request or all of the answer was
		// lost. One more request at once can't fill the link; after a pause it would come
		// too late for an entry that is to rest, and that would read itself.
		private void passed(long nowNanos) {
			if (this.underWay && this.version == Version.UNKNOWN) {
				this.quietNanos = nowNanos - this.pauseNanos;
			}
			this.underWay = false;
		}

		private boolean waits() {
			return this.underWay && this.version != Version.OLDER;
		}

		private boolean whole() {
			return this.delivered.size() == Kind.values().length;
		}

		private List<Kind> missing() {
			List<Kind> missing = new ArrayList<>(List.of(Kind.values()));
			missing.removeAll(this.delivered);
			return missing;
		}

	}

	/** What is known of another entry's version. */
	private enum Version {

		/** Nothing has come yet. */
		UNKNOWN,
		/** It numbers its frames and echoes stamps. */
		ECHOES,
		/** It does not. */
		OLDER

	}

}
