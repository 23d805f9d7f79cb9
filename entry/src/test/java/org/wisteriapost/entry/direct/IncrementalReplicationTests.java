package org.wisteriapost.entry.direct;

import java.io.OutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wisteriapost.kernel.log.DecisionLog;
import org.wisteriapost.policy.fleet.LinkedEntry;
import org.wisteriapost.policy.fleet.RendezvousHashing;
import org.wisteriapost.policy.fleet.StoreRole;
import org.wisteriapost.policy.fleet.UpstreamSelector;
import org.wisteriapost.protocol.site.ObjectKind;
import org.wisteriapost.protocol.site.ObjectStore;
import org.wisteriapost.protocol.wire.Frame;
import org.wisteriapost.protocol.wire.News;
import org.wisteriapost.protocol.wire.NewsRequest;

import static org.hamcrest.MatcherAssert.assertThat;

/**
 * An entry requests updates from another and sends the revisions that it has already.
 */
class IncrementalReplicationTests {

	private static final long TICK = 100_000_000;

	private static final int LARGE = 300_000;

	// Upper bound of an answer without content, which has only names, revisions and
	// numbers.
	private static final int SMALL = 1000;

	private final DecisionLog log = DecisionLog.start("test", new PrintStream(OutputStream.nullOutputStream()));

	private final String upstreamName = RendezvousHashing.rank(List.of("a", "b"), "store").getFirst();

	private final String followerName = this.upstreamName.equals("a") ? "b" : "a";

	private final List<Frame> answers = new ArrayList<>();

	private final List<Frame> requests = new ArrayList<>();

	private final StoreRole role = StoreRole.of(this.followerName);

	private final StoreReplication upstream = new StoreReplication(new DecodeOnlyStore(),
			StoreRole.of(this.upstreamName), UpstreamSelector.of(this.upstreamName), EnumSet.allOf(ObjectKind.class),
			(peer, frame) -> this.answers.add(frame), () -> this.now, this.log);

	private final StoreReplication follower = new StoreReplication(new DecodeOnlyStore(), this.role,
			UpstreamSelector.of(this.followerName), EnumSet.allOf(ObjectKind.class),
			(peer, frame) -> this.requests.add(frame), () -> this.now, this.log);

	private final StoreRoleController controller = new StoreRoleController(this.role, this.follower, new StoreWatches(),
			(peer, frame) -> this.requests.add(frame), this.log);

	private long now;

	@BeforeEach
	void readAtUpstream() {
		for (ObjectKind kind : ObjectKind.values()) {
			this.upstream.applyFromStore(kind, (kind == ObjectKind.ROUTES)
					? List.of(large("table", 5), DecodeOnlyStore.item("r", 6)) : List.of(DecodeOnlyStore.item("x", 5)),
					7);
		}
		this.upstream.storeReachable(true);
	}

	@AfterEach
	void stop() {
		this.log.close();
	}

	private static ObjectStore.Item large(String name, long revision) {
		return DecodeOnlyStore.largeItem(name, revision, LARGE);
	}

	private void tick() {
		this.now += TICK;
		this.follower.tick(List.of(LinkedEntry.unknown(this.upstreamName)), this.now);
		this.controller.tick(List.of(this.upstreamName), true, this.now);
	}

	private void disconnectFromStore() {
		this.follower.storeReachable(false);
		tick();
	}

	private void deliverRequests() {
		List<Frame> sent = List.copyOf(this.requests);
		this.requests.clear();
		sent.forEach((frame) -> this.upstream.requestReceived(this.followerName, frame.getNewsRequest()));
	}

	private int answerBytes() {
		return this.answers.stream().mapToInt(Frame::getSerializedSize).sum();
	}

	private List<DirectEvent> deliverAnswers() {
		List<Frame> sent = List.copyOf(this.answers);
		this.answers.clear();
		return sent.stream()
			.flatMap((frame) -> this.controller.updateReceived(this.upstreamName, frame.getNews(), this.now).stream())
			.toList();
	}

	private static List<String> names(List<DirectEvent> events, ObjectKind kind) {
		return events.stream()
			.map(DirectEvent.ObjectsListed.class::cast)
			.filter((all) -> all.kind() == kind)
			.flatMap((all) -> all.items().stream())
			.map(ObjectStore.Item::name)
			.sorted()
			.toList();
	}

	// Guards against filling the links between regions with copies of a table that all
	// have.
	@Test
	void objectsHeldByFollowerAreNotResent() {
		disconnectFromStore();
		deliverRequests();
		assertThat(answerBytes(), Matchers.greaterThan(LARGE));
		assertThat(names(deliverAnswers(), ObjectKind.ROUTES), Matchers.contains("r", "table"));
		this.follower.storeReachable(true);
		disconnectFromStore();
		deliverRequests();
		assertThat(answerBytes(), Matchers.lessThan(SMALL));
		assertThat(names(deliverAnswers(), ObjectKind.ROUTES), Matchers.contains("r", "table"));
		assertThat(this.follower.isComplete(this.upstreamName), Matchers.equalTo(true));
	}

	@Test
	void changedObjectsAreSentAndUnlistedObjectsAreRemoved() {
		this.follower.applyFromStore(ObjectKind.ROUTES,
				List.of(large("table", 5), DecodeOnlyStore.item("r", 3), DecodeOnlyStore.item("old", 2)), 5);
		disconnectFromStore();
		deliverRequests();
		assertThat(answerBytes(), Matchers.lessThan(SMALL));
		List<DirectEvent> received = deliverAnswers();
		assertThat(names(received, ObjectKind.ROUTES), Matchers.contains("r", "table"));
		assertThat(received.stream()
			.map(DirectEvent.ObjectsListed.class::cast)
			.flatMap((all) -> all.items().stream())
			.filter((item) -> item.name().equals("r"))
			.map(ObjectStore.Item::revision)
			.toList(), Matchers.contains(6L));
	}

	// The follower drops an object between its request and the answer, which references
	// it without content. If the answer were applied, routes and runners would be
	// missing until they change.
	@Test
	void answerReferencingUnknownObjectIsDiscarded() {
		this.follower.applyFromStore(ObjectKind.ROUTES, List.of(large("table", 5)), 5);
		disconnectFromStore();
		deliverRequests();
		this.follower.applyFromStore(ObjectKind.ROUTES, List.of(DecodeOnlyStore.item("s", 6)), 6);
		assertThat(names(deliverAnswers(), ObjectKind.ROUTES), Matchers.empty());
		assertThat(this.follower.isComplete(this.upstreamName), Matchers.equalTo(false));
		for (int i = 0; i < 5; i++) {
			tick();
		}
		assertThat(this.requests.getFirst().getNewsRequest().getKnownList(), Matchers.empty());
		deliverRequests();
		assertThat(names(deliverAnswers(), ObjectKind.ROUTES), Matchers.contains("r", "table"));
		assertThat(this.follower.isComplete(this.upstreamName), Matchers.equalTo(true));
	}

	@Test
	void incompleteAnswerDoesNotMakeEntryFollower() {
		for (ObjectKind kind : ObjectKind.values()) {
			this.follower.applyFromStore(kind, (kind == ObjectKind.ROUTES) ? List.of(large("table", 5)) : List.of(), 5);
		}
		this.follower.storeReachable(true);
		while (this.requests.isEmpty()) {
			tick();
		}
		deliverRequests();
		this.follower.applyFromStore(ObjectKind.ROUTES, List.of(), 5);
		deliverAnswers();
		assertThat(this.controller.isFollower(), Matchers.equalTo(false));
		for (int i = 0; i < 4; i++) {
			tick();
		}
		deliverRequests();
		deliverAnswers();
		assertThat(this.controller.isFollower(), Matchers.equalTo(true));
	}

	// An object whose removal was read while the older answer was in transit is not
	// missing.
	@Test
	void objectRemovedSinceRequestIsNotMissing() {
		this.follower.applyFromStore(ObjectKind.ROUTES, List.of(large("table", 5), DecodeOnlyStore.item("r", 6)), 6);
		disconnectFromStore();
		deliverRequests();
		this.follower.applyFromStore(ObjectKind.ROUTES, new ObjectStore.Change(DecodeOnlyStore.item("r", 8), true));
		assertThat(names(deliverAnswers(), ObjectKind.ROUTES), Matchers.contains("table"));
		assertThat(this.follower.isComplete(this.upstreamName), Matchers.equalTo(true));
	}

	// The follower has missed a new runner and received a later change. It must not
	// report the later revision as read, or its own subscribers would remove that
	// runner.
	@Test
	void missedChangeDoesNotAdvanceRevision() {
		disconnectFromStore();
		deliverRequests();
		deliverAnswers();
		this.upstream.applyFromStore(ObjectKind.RUNNERS, new ObjectStore.Change(DecodeOnlyStore.item("s", 8), false));
		this.answers.clear();
		this.upstream.applyFromStore(ObjectKind.RUNNERS, new ObjectStore.Change(DecodeOnlyStore.item("t", 9), false));
		this.answers.forEach((frame) -> this.follower.updateReceived(this.upstreamName, frame.getNews()));
		this.follower.storeReachable(true);
		this.requests.clear();
		this.follower.requestReceived("third", NewsRequest.newBuilder().setWanted(true).build());
		assertThat(this.requests.stream()
			.map(Frame::getNews)
			.filter((news) -> news.getKind() == ReplicatedKinds.toWire(ObjectKind.RUNNERS))
			.map(News::getAt)
			.toList(), Matchers.contains(7L));
	}

	// A listing after the upstream's watch was lost sends only the new object.
	@Test
	void relistingSendsOnlyNewObjects() {
		disconnectFromStore();
		deliverRequests();
		deliverAnswers();
		this.upstream.applyFromStore(ObjectKind.ROUTES, List.of(large("table", 5), DecodeOnlyStore.item("s", 8)), 9);
		assertThat(answerBytes(), Matchers.lessThan(SMALL));
		assertThat(names(deliverAnswers(), ObjectKind.ROUTES), Matchers.contains("s", "table"));
		assertThat(this.follower.isComplete(this.upstreamName), Matchers.equalTo(true));
	}

	// The follower misses a change, and the listing after it assumes that it was
	// received. Only the missing object is requested.
	@Test
	void changeMissedBeforeRelistingIsRequested() {
		disconnectFromStore();
		deliverRequests();
		deliverAnswers();
		this.upstream.applyFromStore(ObjectKind.ROUTES, new ObjectStore.Change(DecodeOnlyStore.item("s", 8), false));
		this.answers.clear();
		this.upstream.applyFromStore(ObjectKind.ROUTES, List.of(large("table", 5), DecodeOnlyStore.item("s", 8)), 9);
		deliverAnswers();
		assertThat(this.follower.isComplete(this.upstreamName), Matchers.equalTo(false));
		for (int i = 0; i < 4; i++) {
			tick();
		}
		deliverRequests();
		assertThat(answerBytes(), Matchers.lessThan(SMALL));
		assertThat(names(deliverAnswers(), ObjectKind.ROUTES), Matchers.contains("s", "table"));
		assertThat(this.follower.isComplete(this.upstreamName), Matchers.equalTo(true));
	}

	// A legacy peer cannot handle an object without content.
	@Test
	void legacyPeerIsSentCompleteListing() {
		this.upstream.requestReceived("legacy", NewsRequest.newBuilder().setWanted(true).build());
		this.answers.clear();
		this.upstream.applyFromStore(ObjectKind.ROUTES, List.of(large("table", 5), DecodeOnlyStore.item("s", 8)), 9);
		assertThat(answerBytes(), Matchers.greaterThan(LARGE));
	}

	// A legacy peer sends no revisions.
	@Test
	void peerWithoutRevisionsIsSentEverything() {
		this.upstream.requestReceived("legacy", NewsRequest.newBuilder().setWanted(true).build());
		assertThat(answerBytes(), Matchers.greaterThan(LARGE));
	}

}
