package org.wisteriapost.entry.direct;

import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import org.wisteriapost.kernel.log.DecisionLog;
import org.wisteriapost.policy.fleet.LinkedEntry;
import org.wisteriapost.policy.fleet.StoreRole;
import org.wisteriapost.policy.fleet.UpstreamSelector;
import org.wisteriapost.policy.routing.LastConfirmedTime;
import org.wisteriapost.protocol.site.Kind;
import org.wisteriapost.protocol.site.ObjectStore;
import org.wisteriapost.protocol.wire.Frame;
import org.wisteriapost.protocol.wire.KnownKind;
import org.wisteriapost.protocol.wire.News;
import org.wisteriapost.protocol.wire.NewsRequest;
import org.wisteriapost.protocol.wire.StoreKind;
import org.wisteriapost.protocol.wire.StoreObject;

/**
 * Passes what the site's store says on to entries that do not read it, for want of an
 * answer or since this one reads for them, and takes it from another entry while this one
 * does not read. Used by the state thread alone.
 */
final class SiteNews {

	// Half a second: who hears the store from here takes silence for a loss.
	private static final int TICKS_PER_SIGN = 5;

	// What is large comes last: on a narrow link what is small would wait behind it, and
	// callers would find no runner for as long as the route table takes.
	private static final List<Kind> ANSWER_ORDER = List.of(Kind.RUNNERS, Kind.ENTRIES, Kind.WEIGHTS, Kind.ROUTES);

	private final KnownObjects known;

	private final NewsHearer hearer;

	private final NewsTeller teller;

	private final BiConsumer<String, Frame> sender;

	private final LongSupplier clock;

	private final DecisionLog log;

	private final UpstreamSelector upstream;

	private final StoreRole duty;

	private final LastConfirmedTime asOf = new LastConfirmedTime();

	// Who passes on what is not wanted here, since the word that ended it was lost with a
	// link. Left alone it would do so for ever and never rest. Told once a tick, it ends
	// as soon as one word arrives.
	private final Set<String> unasked = new HashSet<>();

	private List<LinkedEntry> linked = List.of();

	private long tickNanos;

	private boolean answered;

	private int ticks;

	/**
	 * Returns news of one entry.
	 * @param duty says whom to believe besides
	 * @param upstream says whom to ask while the store does not answer
	 * @param sender sends a frame to an entry by name
	 */
	SiteNews(ObjectStore store, StoreRole duty, UpstreamSelector upstream, BiConsumer<String, Frame> sender,
			LongSupplier clock, DecisionLog log) {
		this.known = new KnownObjects(store);
		this.hearer = new NewsHearer(this.known, clock, log);
		this.teller = new NewsTeller(sender, clock);
		this.duty = duty;
		this.upstream = upstream;
		this.sender = sender;
		this.clock = clock;
		this.log = log;
	}

	// From the store.

	/**
	 * Takes all objects of a kind.
	 * @param at the store's revision when they were read
	 */
	void read(Kind kind, List<ObjectStore.Item> all, long at) {
		Map<String, Long> told = this.known.revisions(kind);
		if (this.known.read(kind, all, at)) {
			this.hearer.dropped(kind);
		}
		this.teller.hearers().forEach((peer) -> this.teller.send(peer, all(kind, has(peer, told))));
	}

	// Who hears this entry was told what it knew before, and asks for what it has missed;
	// only a process of an older version does not.
	private Map<String, Long> has(String peer, Map<String, Long> told) {
		return this.teller.stamps(peer) ? told : Map.of();
	}

	/**
	 * Takes a change and returns whether it is newer than what is known.
	 */
	boolean read(Kind kind, ObjectStore.Change change) {
		if (!this.known.read(kind, change)) {
			return false;
		}
		tell(() -> News.newBuilder()
			.setCurrent(true)
			.setKind(wire(kind))
			.addObjects(this.known.written(kind, change))
			.build());
		return true;
	}

	/**
	 * Hears as of when the store's routes are known, by this process's monotonic clock.
	 */
	void confirmed(long asOfNanos) {
		this.teller.confirmed(asOfNanos);
		this.asOf.confirmed(asOfNanos);
	}

	/**
	 * Returns up to which revision of the store the objects of a kind are known.
	 */
	long readTo(Kind kind) {
		return this.known.readTo(kind);
	}

	/**
	 * Returns the newest moment as of which the store's routes are known here, read or
	 * heard.
	 */
	OptionalLong asOfNanos() {
		return this.asOf.nanos();
	}

	/**
	 * Returns the newest moment as of which another entry has said that its routes are.
	 */
	OptionalLong asOfNanos(String peer) {
		return this.hearer.asOf(peer);
	}

	/**
	 * Hears that this VM was suspended.
	 */
	void suspended(long nowNanos) {
		this.teller.suspended(nowNanos);
		this.asOf.discardBefore(nowNanos);
	}

	/**
	 * Hears that this entry stops reading the store. Whoever has begun to hear it from
	 * here meanwhile is told: the signs alone would keep it on what it has. That the
	 * store did not answer its last call is forgotten: it would hear another entry beside
	 * its reader.
	 */
	void stopReading() {
		this.answered = false;
		this.upstream.storeReachabilityChanged(true).ifPresent(this::unwanted);
		dismiss();
	}

	/**
	 * Returns whether nobody would miss it if this entry stopped reading the store.
	 */
	boolean mayRest() {
		return this.answered && this.teller.unheard();
	}

	/**
	 * Hears whether the store answers this entry. What a call found that was made before
	 * this entry came to rest is left out: it would make it ask others for all, or say
	 * that it reads, until it reads again.
	 */
	void reachable(boolean reachable) {
		if (this.duty.isFollower()) {
			return;
		}
		this.answered = reachable;
		this.upstream.storeReachabilityChanged(reachable).ifPresent(this::unwanted);
		if (!reachable) {
			dismiss();
		}
	}

	/**
	 * Tells all who hear the store from here that they may be behind.
	 */
	void dismiss() {
		tell(() -> News.newBuilder().setCurrent(false).build());
		this.teller.clear();
	}

	/**
	 * Returns whether others hear the store from here.
	 */
	boolean reliedOn() {
		return !this.teller.unheard();
	}

	// From and to other entries.

	/**
	 * Asks another entry when that is needed. Called each 100 ms.
	 * @param linked the entries to which there is a link
	 */
	void tick(Collection<LinkedEntry> linked, long nowNanos) {
		this.linked = List.copyOf(linked);
		this.tickNanos = nowNanos;
		this.teller.keep(linked.stream().map(LinkedEntry::name).collect(Collectors.toSet()));
		this.ticks++;
		if (this.ticks % TICKS_PER_SIGN == 0) {
			tell(() -> News.newBuilder().setCurrent(true).build());
		}
		List.copyOf(this.unasked).forEach(this::unwanted);
		this.unasked.clear();
		carryOut(this.upstream.tick(linked, nowNanos));
		// After the choice above, so that only who is believed now is asked again.
		this.hearer.keep((peer) -> this.duty.acceptsUpdatesFrom(peer) || this.upstream.acceptsUpdatesFrom(peer));
		this.hearer.heard().forEach(this::askAgain);
		if (this.ticks % TICKS_PER_SIGN == 0) {
			this.hearer.heard()
				.forEach((peer) -> this.hearer.keepAlive(peer).ifPresent((frame) -> this.sender.accept(peer, frame)));
		}
	}

	/**
	 * Hears that there is a new link to another entry.
	 */
	void linked(String peer) {
		this.hearer.linked(peer);
	}

	/**
	 * Returns the frame by which another entry is asked for what the store says.
	 */
	Frame ask(String peer) {
		return this.hearer.ask(peer);
	}

	/**
	 * Returns whether nothing that another entry has said is missing.
	 */
	boolean whole(String peer) {
		return this.hearer.whole(peer);
	}

	/**
	 * Tells an entry that nothing more is wanted of it, unless something is. What was
	 * asked of it is forgotten: it does not send it any more, and is asked anew when it
	 * is wanted again.
	 */
	void unwanted(String peer) {
		if (!this.duty.acceptsUpdatesFrom(peer) && !this.upstream.acceptsUpdatesFrom(peer)) {
			this.hearer.forget(peer);
			this.sender.accept(peer, enough());
		}
	}

	private void carryOut(List<UpstreamSelector.Step> steps) {
		for (UpstreamSelector.Step step : steps) {
			switch (step) {
				case UpstreamSelector.Step.Ask ask -> {
					this.log.decision("store-through-entry", "entry", ask.entry());
					this.sender.accept(ask.entry(), ask(ask.entry()));
				}
				case UpstreamSelector.Step.Dismiss dismiss -> unwanted(dismiss.entry());
			}
		}
	}

	/**
	 * Hears that another entry wants to be told what the store says, or does not any
	 * more.
	 */
	void asked(String peer, NewsRequest request) {
		if (!request.getWanted()) {
			this.teller.remove(peer);
			return;
		}
		this.teller.stamped(peer, request);
		if (!this.answered) {
			this.teller.send(peer, notCurrent());
			return;
		}
		if (request.getKeepAlive()) {
			this.teller.sign(peer, News.newBuilder().setCurrent(true).build());
			return;
		}
		this.teller.add(peer);
		Map<Kind, Map<String, Long>> held = held(request);
		for (Kind kind : ANSWER_ORDER) {
			this.teller.send(peer, all(kind, held.getOrDefault(kind, Map.of())));
		}
	}

	// Who alone has lost the entry that reads for both would wait for this one to read.
	private News notCurrent() {
		News.Builder news = News.newBuilder().setCurrent(false);
		this.duty.millisSinceLeaderHeard(this.clock.getAsLong()).ifPresent(news::setHeardAgoMillis);
		return news.build();
	}

	/**
	 * Returns what another entry says that is new here, as if the store had said it.
	 */
	List<DirectEvent> heard(String peer, News news) {
		if (!believed(peer, news)) {
			this.hearer.forget(peer);
			return List.of();
		}
		this.hearer.counted(peer, news);
		List<DirectEvent> fresh = kind(news.getKind()).map((kind) -> taken(peer, kind, news)).orElse(List.of());
		this.hearer.asOf(peer, news).ifPresent(this.asOf::confirmed);
		askAgain(peer);
		return fresh;
	}

	private void askAgain(String peer) {
		this.hearer.again(peer).ifPresent((frame) -> this.sender.accept(peer, frame));
	}

	private List<DirectEvent> taken(String peer, Kind kind, News news) {
		if (this.upstream.acceptsUpdatesFrom(peer)) {
			this.upstream.answerReceived(true, this.tickNanos);
		}
		if (!this.known.holds(kind, news.getObjectsList())) {
			this.hearer.lacking(peer, kind, news);
			return List.of();
		}
		List<DirectEvent> fresh = new ArrayList<>();
		for (StoreObject object : news.getObjectsList()) {
			this.known.heard(kind, object)
				.ifPresent((change) -> fresh.add(new DirectEvent.ObjectChanged(kind, change)));
		}
		if (news.getAll()) {
			this.hearer.delivered(peer, kind);
			return List.of(all(kind, news));
		}
		// With a change before it missing it says nothing of how far the kind is known:
		// what was made in between would be taken for gone by whoever hears this entry.
		if (this.hearer.has(peer, kind)) {
			news.getObjectsList().forEach((object) -> this.known.reached(kind, object.getRevision()));
		}
		return fresh;
	}

	private DirectEvent all(Kind kind, News news) {
		Set<String> named = new HashSet<>();
		news.getObjectsList().forEach((object) -> named.add(object.getName()));
		this.known.keep(kind, named, news.getAt());
		this.known.reached(kind, news.getAt());
		return new DirectEvent.AllObjects(kind, this.known.items(kind), this.known.readTo(kind));
	}

	private boolean believed(String peer, News news) {
		if (this.duty.acceptsUpdatesFrom(peer)) {
			return news.getCurrent();
		}
		if (!this.upstream.acceptsUpdatesFrom(peer)) {
			if (news.getCurrent()) {
				this.unasked.add(peer);
			}
			return false;
		}
		if (!news.getCurrent()) {
			this.upstream.answerReceived(false, this.tickNanos);
			carryOut(this.upstream.tick(this.linked, this.tickNanos));
			return false;
		}
		this.upstream.heartbeatReceived(this.tickNanos);
		return true;
	}

	private void tell(Supplier<News> news) {
		if (!this.teller.unheard()) {
			this.teller.tell(news.get());
		}
	}

	private News all(Kind kind, Map<String, Long> held) {
		return News.newBuilder()
			.setCurrent(true)
			.setAll(true)
			.setKind(wire(kind))
			.setAt(this.known.readTo(kind))
			.addAllObjects(this.known.written(kind, held))
			.build();
	}

	private static Map<Kind, Map<String, Long>> held(NewsRequest request) {
		Map<Kind, Map<String, Long>> held = new EnumMap<>(Kind.class);
		for (KnownKind of : request.getKnownList()) {
			Map<String, Long> revisions = new HashMap<>();
			of.getObjectsList().forEach((object) -> revisions.put(object.getName(), object.getRevision()));
			kind(of.getKind()).ifPresent((kind) -> held.put(kind, revisions));
		}
		return held;
	}

	/**
	 * Returns the frame that says that no more news are wanted.
	 */
	static Frame enough() {
		return Frame.newBuilder().setNewsRequest(NewsRequest.newBuilder().setWanted(false)).build();
	}

	static StoreKind wire(Kind kind) {
		return switch (kind) {
			case ROUTES -> StoreKind.STORE_ROUTES;
			case RUNNERS -> StoreKind.STORE_RUNNERS;
			case WEIGHTS -> StoreKind.STORE_WEIGHTS;
			case ENTRIES -> StoreKind.STORE_ENTRIES;
		};
	}

	static Optional<Kind> kind(StoreKind kind) {
		return switch (kind) {
			case STORE_ROUTES -> Optional.of(Kind.ROUTES);
			case STORE_RUNNERS -> Optional.of(Kind.RUNNERS);
			case STORE_WEIGHTS -> Optional.of(Kind.WEIGHTS);
			case STORE_ENTRIES -> Optional.of(Kind.ENTRIES);
			case STORE_KIND_UNSPECIFIED, UNRECOGNIZED -> Optional.empty();
		};
	}

}
