package org.wisteriapost.entry.direct;

import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import com.google.protobuf.ByteString;
import org.wisteriapost.kernel.log.DecisionLog;
import org.wisteriapost.policy.fleet.LinkedEntry;
import org.wisteriapost.policy.fleet.StoreDuty;
import org.wisteriapost.policy.fleet.UpstreamChoice;
import org.wisteriapost.protocol.site.Kind;
import org.wisteriapost.protocol.site.ObjectStore;
import org.wisteriapost.protocol.wire.Frame;
import org.wisteriapost.protocol.wire.News;
import org.wisteriapost.protocol.wire.NewsRequest;
import org.wisteriapost.protocol.wire.StoreKind;
import org.wisteriapost.protocol.wire.StoreObject;

/**
 * Passes what the site's store says on to entries that do not read it, for want of an
 * answer or since this one reads for them, and takes it from another entry while this one
 * does not read. Used by the state thread alone.
 *
 * An object is taken only when its revision is higher than the one known, and one that
 * was removed stays away until the store has changed it again: another entry may be
 * behind what this one has read itself.
 */
final class SiteNews {

	// Half a second: who hears the store from here takes silence for a loss.
	private static final int TICKS_PER_SIGN = 5;

	private final ObjectStore store;

	private final BiConsumer<String, Frame> sender;

	private final DecisionLog log;

	private final UpstreamChoice upstream;

	private final StoreDuty duty;

	private final Set<String> downstream = new HashSet<>();

	private final Map<Kind, Map<String, ObjectStore.Item>> objects = new EnumMap<>(Kind.class);

	private final Map<Kind, Map<String, Long>> removed = new EnumMap<>(Kind.class);

	// Up to which revision of the store the objects of a kind are known.
	private final Map<Kind, Long> readTo = new EnumMap<>(Kind.class);

	// Who passes on what is not wanted here, since the word that ended it was lost with a
	// link. Left alone it would do so for ever and never rest. Told once a tick, it ends
	// as soon as one word arrives.
	private final Set<String> strays = new HashSet<>();

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
	SiteNews(ObjectStore store, StoreDuty duty, UpstreamChoice upstream, BiConsumer<String, Frame> sender,
			DecisionLog log) {
		this.store = store;
		this.duty = duty;
		this.upstream = upstream;
		this.sender = sender;
		this.log = log;
		for (Kind kind : Kind.values()) {
			this.objects.put(kind, new LinkedHashMap<>());
			this.removed.put(kind, new LinkedHashMap<>());
		}
	}

	// From the store.

	/**
	 * Takes all objects of a kind.
	 * @param at the store's revision when they were read
	 */
	void read(Kind kind, List<ObjectStore.Item> all, long at) {
		this.readTo.put(kind, at);
		Map<String, ObjectStore.Item> known = this.objects.get(kind);
		known.clear();
		this.removed.get(kind).clear();
		all.forEach((item) -> known.put(item.name(), item));
		tell(() -> all(kind));
	}

	/**
	 * Takes a change and returns whether it is newer than what is known.
	 */
	boolean read(Kind kind, ObjectStore.Change change) {
		ObjectStore.Item known = this.objects.get(kind).get(change.item().name());
		if (known != null && known.revision() > change.item().revision()) {
			return false;
		}
		note(kind, change);
		tell(() -> News.newBuilder().setCurrent(true).setKind(wire(kind)).addObjects(object(change)).build());
		return true;
	}

	/**
	 * Hears that this entry stops reading the store.
	 */
	void rests() {
		this.answered = false;
	}

	/**
	 * Returns whether nobody would miss it if this entry stopped reading the store.
	 */
	boolean mayRest() {
		return this.answered && this.downstream.isEmpty();
	}

	/**
	 * Hears whether the store answers this entry. What a call found that was made before
	 * this entry came to rest is left out: it would make it ask others for all, or say
	 * that it reads, until it reads again.
	 */
	void reachable(boolean reachable) {
		if (this.duty.rests()) {
			return;
		}
		this.answered = reachable;
		this.upstream.store(reachable).ifPresent(this::unwanted);
		if (!reachable) {
			dismiss();
		}
	}

	/**
	 * Tells all who hear the store from here that they may be behind.
	 */
	void dismiss() {
		tell(() -> News.newBuilder().setCurrent(false).build());
		this.downstream.clear();
	}

	/**
	 * Returns whether others hear the store from here.
	 */
	boolean reliedOn() {
		return !this.downstream.isEmpty();
	}

	// From and to other entries.

	/**
	 * Asks another entry when that is needed. Called each 100 ms.
	 * @param linked the entries to which there is a link
	 */
	void tick(Collection<LinkedEntry> linked, long nowNanos) {
		this.linked = List.copyOf(linked);
		this.tickNanos = nowNanos;
		this.downstream.retainAll(linked.stream().map(LinkedEntry::name).collect(Collectors.toSet()));
		this.ticks++;
		if (this.ticks % TICKS_PER_SIGN == 0) {
			tell(() -> News.newBuilder().setCurrent(true).build());
		}
		List.copyOf(this.strays).forEach(this::unwanted);
		this.strays.clear();
		carryOut(this.upstream.ask(linked, nowNanos));
	}

	/**
	 * Tells an entry that nothing more is wanted of it, unless something is.
	 */
	void unwanted(String peer) {
		if (!this.duty.believes(peer) && !this.upstream.believes(peer)) {
			this.sender.accept(peer, request(false));
		}
	}

	private void carryOut(List<UpstreamChoice.Step> steps) {
		for (UpstreamChoice.Step step : steps) {
			switch (step) {
				case UpstreamChoice.Step.Ask ask -> {
					this.log.decision("store-through-entry", "entry", ask.entry());
					this.sender.accept(ask.entry(), request(true));
				}
				case UpstreamChoice.Step.Dismiss dismiss -> unwanted(dismiss.entry());
			}
		}
	}

	/**
	 * Hears that another entry wants to be told what the store says, or does not any
	 * more.
	 */
	void asked(String peer, boolean wanted) {
		if (!wanted) {
			this.downstream.remove(peer);
			return;
		}
		if (!this.answered) {
			this.sender.accept(peer, frame(News.newBuilder().setCurrent(false).build()));
			return;
		}
		this.downstream.add(peer);
		for (Kind kind : Kind.values()) {
			this.sender.accept(peer, frame(all(kind)));
		}
	}

	/**
	 * Returns what another entry says that is new here, as if the store had said it.
	 */
	List<DirectEvent> heard(String peer, News news) {
		Optional<Kind> kind = kind(news.getKind());
		if (!believed(peer, news) || kind.isEmpty()) {
			return List.of();
		}
		if (this.upstream.believes(peer)) {
			this.upstream.heard(true, this.tickNanos);
		}
		List<DirectEvent> fresh = new ArrayList<>();
		for (StoreObject object : news.getObjectsList()) {
			if (newer(kind.get(), object)) {
				this.store.decode(kind.get(), object.getContent().toByteArray()).ifPresent((item) -> {
					ObjectStore.Change change = new ObjectStore.Change(item, object.getDeleted());
					note(kind.get(), change);
					fresh.add(new DirectEvent.ObjectChanged(kind.get(), change));
				});
			}
		}
		return news.getAll() ? List.of(all(kind.get(), news)) : fresh;
	}

	// What the sender does not name is gone, unless it was made after the sender had
	// read:
	// taken for gone it would stay away until it changes again.
	private DirectEvent all(Kind kind, News news) {
		Set<String> named = new HashSet<>();
		news.getObjectsList().forEach((object) -> named.add(object.getName()));
		Map<String, ObjectStore.Item> known = this.objects.get(kind);
		List.copyOf(known.values())
			.stream()
			.filter((item) -> !named.contains(item.name()) && item.revision() <= news.getAt())
			.forEach((item) -> note(kind, new ObjectStore.Change(item, true)));
		this.readTo.merge(kind, news.getAt(), Math::max);
		return new DirectEvent.AllObjects(kind, List.copyOf(known.values()), this.readTo.get(kind));
	}

	private boolean believed(String peer, News news) {
		if (this.duty.believes(peer)) {
			return news.getCurrent();
		}
		if (!this.upstream.believes(peer)) {
			if (news.getCurrent()) {
				this.strays.add(peer);
			}
			return false;
		}
		if (!news.getCurrent()) {
			this.upstream.heard(false, this.tickNanos);
			carryOut(this.upstream.ask(this.linked, this.tickNanos));
			return false;
		}
		this.upstream.sign(this.tickNanos);
		return true;
	}

	private boolean newer(Kind kind, StoreObject object) {
		ObjectStore.Item known = this.objects.get(kind).get(object.getName());
		long gone = this.removed.get(kind).getOrDefault(object.getName(), -1L);
		boolean same = known != null && known.revision() >= object.getRevision() && !object.getDeleted();
		return !same && object.getRevision() > gone;
	}

	private void note(Kind kind, ObjectStore.Change change) {
		ObjectStore.Item item = change.item();
		this.readTo.merge(kind, item.revision(), Math::max);
		if (change.deleted()) {
			this.objects.get(kind).remove(item.name());
			this.removed.get(kind).put(item.name(), item.revision());
			return;
		}
		this.objects.get(kind).put(item.name(), item);
	}

	private void tell(Supplier<News> news) {
		if (this.downstream.isEmpty()) {
			return;
		}
		Frame frame = frame(news.get());
		this.downstream.forEach((peer) -> this.sender.accept(peer, frame));
	}

	private News all(Kind kind) {
		News.Builder news = News.newBuilder()
			.setCurrent(true)
			.setAll(true)
			.setKind(wire(kind))
			.setAt(this.readTo.getOrDefault(kind, 0L));
		this.objects.get(kind).values().forEach((item) -> news.addObjects(object(new ObjectStore.Change(item, false))));
		return news.build();
	}

	private static StoreObject object(ObjectStore.Change change) {
		ObjectStore.Item item = change.item();
		return StoreObject.newBuilder()
			.setName(item.name())
			.setRevision(item.revision())
			.setDeleted(change.deleted())
			.setContent(ByteString.copyFrom(item.content()))
			.build();
	}

	static Frame request(boolean wanted) {
		return Frame.newBuilder().setNewsRequest(NewsRequest.newBuilder().setWanted(wanted)).build();
	}

	private static Frame frame(News news) {
		return Frame.newBuilder().setNews(news).build();
	}

	private static StoreKind wire(Kind kind) {
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
