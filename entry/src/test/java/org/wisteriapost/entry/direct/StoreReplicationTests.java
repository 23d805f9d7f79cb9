package org.wisteriapost.entry.direct;

import java.io.OutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.stream.Stream;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wisteriapost.kernel.log.DecisionLog;
import org.wisteriapost.policy.fleet.LinkedEntry;
import org.wisteriapost.policy.fleet.StoreRole;
import org.wisteriapost.policy.fleet.UpstreamSelector;
import org.wisteriapost.protocol.site.ObjectKind;
import org.wisteriapost.protocol.site.ObjectStore;
import org.wisteriapost.protocol.wire.Frame;
import org.wisteriapost.protocol.wire.News;
import org.wisteriapost.protocol.wire.NewsRequest;
import org.wisteriapost.protocol.wire.StoreKind;

import static org.hamcrest.MatcherAssert.assertThat;

/**
 * Two entries, one of which the store answers.
 */
class StoreReplicationTests {

	private static final long SECOND = 1_000_000_000;

	private final DecisionLog log = DecisionLog.start("test", new PrintStream(OutputStream.nullOutputStream()));

	private final List<Frame> toFollower = new ArrayList<>();

	private final List<Frame> toUpstream = new ArrayList<>();

	// Every request of the follower with its receiver, except keep-alives.
	private final List<String> requests = new ArrayList<>();

	private final StoreReplication upstream = new StoreReplication(new DecodeOnlyStore(), StoreRole.of("upstream"),
			UpstreamSelector.of("upstream"), EnumSet.allOf(ObjectKind.class),
			(peer, frame) -> this.toFollower.add(frame), () -> SECOND, this.log);

	private final StoreReplication follower = new StoreReplication(new DecodeOnlyStore(), StoreRole.of("follower"),
			UpstreamSelector.of("follower"), EnumSet.allOf(ObjectKind.class), this::sendFromFollower, () -> SECOND,
			this.log);

	@BeforeEach
	void disconnectFollowerFromStore() {
		this.upstream.storeReachable(true);
		this.upstream.applyFromStore(ObjectKind.RUNNERS,
				List.of(DecodeOnlyStore.item("a", 5), DecodeOnlyStore.item("b", 6)), 6);
		this.follower.storeReachable(true);
		this.follower.applyFromStore(ObjectKind.RUNNERS,
				List.of(DecodeOnlyStore.item("a", 5), DecodeOnlyStore.item("old", 4)), 5);
		this.follower.storeReachable(false);
		this.follower.tick(linked("upstream"), SECOND);
		this.toUpstream.forEach((frame) -> this.upstream.requestReceived("follower", frame.getNewsRequest()));
	}

	@AfterEach
	void stop() {
		this.log.close();
	}

	private static List<LinkedEntry> linked(String... names) {
		return Stream.of(names).map(LinkedEntry::unknown).toList();
	}

	private void sendFromFollower(String peer, Frame frame) {
		this.toUpstream.add(frame);
		if (!frame.getNewsRequest().getKeepAlive()) {
			this.requests.add((frame.getNewsRequest().getWanted() ? "+" : "-") + peer);
		}
	}

	private List<String> deliverToFollower() {
		List<String> received = new ArrayList<>();
		for (Frame frame : this.toFollower) {
			for (DirectEvent event : this.follower.updateReceived("upstream", frame.getNews())) {
				received.add(text(event));
			}
		}
		this.toFollower.clear();
		return received.stream().filter((one) -> !one.endsWith("[]")).toList();
	}

	private static String text(DirectEvent event) {
		return switch (event) {
			case DirectEvent.ObjectsListed all -> "all" + all.items().stream().map(ObjectStore.Item::name).toList();
			case DirectEvent.ObjectChanged changed ->
				(changed.change().deleted() ? "-" : "+") + changed.change().item().name();
			default -> throw new IllegalArgumentException(event.toString());
		};
	}

	@Test
	void disconnectedEntryReceivesAllObjectsAndThenChanges() {
		assertThat(deliverToFollower(), Matchers.contains("all[a, b]"));
		this.upstream.applyFromStore(ObjectKind.RUNNERS, new ObjectStore.Change(DecodeOnlyStore.item("c", 9), false));
		this.upstream.applyFromStore(ObjectKind.RUNNERS, new ObjectStore.Change(DecodeOnlyStore.item("a", 5), true));
		assertThat(deliverToFollower(), Matchers.contains("+c", "-a"));
	}

	// A listing that the follower has started itself lacks a newer runner that it had
	// received. The upstream would not send that runner again, and callers would be
	// refused until it changes.
	@Test
	void objectDroppedByLateListingIsRequestedAgain() {
		deliverToFollower();
		this.upstream.applyFromStore(ObjectKind.RUNNERS, new ObjectStore.Change(DecodeOnlyStore.item("c", 9), false));
		assertThat(deliverToFollower(), Matchers.contains("+c"));
		this.toUpstream.clear();
		this.follower.applyFromStore(ObjectKind.RUNNERS,
				List.of(DecodeOnlyStore.item("a", 5), DecodeOnlyStore.item("b", 6)), 6);
		this.follower.tick(linked("upstream"), SECOND);
		this.toUpstream.forEach((frame) -> this.upstream.requestReceived("follower", frame.getNewsRequest()));
		assertThat(deliverToFollower(), Matchers.hasItem("all[a, b, c]"));
	}

	// Objects that the listing contains, or that were removed by then, are not missing.
	@Test
	void newerListingCausesNoRequest() {
		deliverToFollower();
		this.upstream.applyFromStore(ObjectKind.RUNNERS, new ObjectStore.Change(DecodeOnlyStore.item("c", 9), false));
		this.upstream.applyFromStore(ObjectKind.RUNNERS, new ObjectStore.Change(DecodeOnlyStore.item("d", 10), false));
		deliverToFollower();
		this.requests.clear();
		this.follower.applyFromStore(ObjectKind.RUNNERS,
				List.of(DecodeOnlyStore.item("a", 5), DecodeOnlyStore.item("c", 9)), 12);
		this.follower.tick(linked("upstream"), SECOND);
		assertThat(this.requests, Matchers.empty());
	}

	// A peer that is behind sends a removed runner again. If it were applied, callers
	// would be sent to a machine that has left.
	@Test
	void olderRevisionDoesNotRestoreRemovedObject() {
		deliverToFollower();
		this.upstream.applyFromStore(ObjectKind.RUNNERS, new ObjectStore.Change(DecodeOnlyStore.item("a", 7), true));
		deliverToFollower();
		this.upstream.applyFromStore(ObjectKind.RUNNERS, new ObjectStore.Change(DecodeOnlyStore.item("a", 6), false));
		assertThat(deliverToFollower(), Matchers.empty());
		this.upstream.applyFromStore(ObjectKind.RUNNERS, new ObjectStore.Change(DecodeOnlyStore.item("a", 11), false));
		assertThat(deliverToFollower(), Matchers.contains("+a"));
	}

	// A removal from another link arrives after the store has created the object anew.
	// If it were applied, an available runner would be missing.
	@Test
	void olderRemovalIsIgnored() {
		deliverToFollower();
		this.upstream.applyFromStore(ObjectKind.RUNNERS, new ObjectStore.Change(DecodeOnlyStore.item("b", 9), false));
		assertThat(deliverToFollower(), Matchers.contains("+b"));
		this.upstream.applyFromStore(ObjectKind.WEIGHTS, new ObjectStore.Change(DecodeOnlyStore.item("b", 7), true));
		Frame removal = this.toFollower.getLast();
		this.toFollower.clear();
		this.toFollower
			.add(removal.toBuilder().setNews(removal.getNews().toBuilder().setKind(StoreKind.STORE_RUNNERS)).build());
		assertThat(deliverToFollower(), Matchers.empty());
	}

	// The store answers the follower again while an update is in transit.
	@Test
	void updatesAreIgnoredOnceStoreAnswers() {
		this.follower.storeReachable(true);
		assertThat(deliverToFollower(), Matchers.empty());
		assertThat(this.toUpstream.getLast().getNewsRequest().getWanted(), Matchers.equalTo(false));
	}

	// Nothing changes for a minute while the upstream sends heartbeats. Then it
	// restarts on an open link and does not know the follower.
	@Test
	void upstreamIsKeptWhileItSendsHeartbeats() {
		deliverToFollower();
		this.requests.clear();
		for (int tick = 1; tick <= 600; tick++) {
			this.upstream.tick(linked("follower", "third"), SECOND + tick * SECOND / 10);
			deliverToFollower();
			this.follower.tick(linked("upstream", "third"), SECOND + tick * SECOND / 10);
		}
		assertThat(this.requests, Matchers.empty());
		this.follower.tick(linked("upstream", "third"), 66 * SECOND);
		assertThat(this.requests, Matchers.contains("-upstream", "+third"));
	}

	// The upstream loses the store too and reports it. The next entry is asked.
	@Test
	void nextEntryIsAskedWhenUpstreamLosesStore() {
		deliverToFollower();
		this.requests.clear();
		this.upstream.storeReachable(false);
		deliverToFollower();
		this.follower.tick(linked("upstream", "third"), 2 * SECOND);
		assertThat(this.requests, Matchers.contains("-upstream", "+third"));
		assertThat(this.follower.updateReceived("upstream", News.newBuilder().setCurrent(true).build()),
				Matchers.empty());
	}

	// Most entries are followers and report at once that they do not read the store.
	// The one that does is found without waiting for a tick at each of them.
	@Test
	void entriesThatAreNotCurrentAreSkippedImmediately() {
		this.follower.storeReachable(true);
		this.follower.storeReachable(false);
		this.requests.clear();
		this.follower.tick(linked("x", "y", "z"), 2 * SECOND);
		for (int i = 0; i < 3; i++) {
			this.follower.updateReceived(this.requests.getLast().substring(1),
					News.newBuilder().setCurrent(false).build());
		}
		assertThat(this.requests.stream().filter((request) -> request.startsWith("+")).toList(),
				Matchers.containsInAnyOrder("+x", "+y", "+z"));
	}

	// The first entry does not answer in time, and the next one is asked. The first
	// would go on sending every change over a full link.
	@Test
	void previousUpstreamIsUnsubscribed() {
		this.follower.tick(linked("upstream", "third"), 2 * SECOND);
		assertThat(this.requests, Matchers.contains("+upstream", "-upstream", "+third"));
	}

	// The link to the upstream closes and another entry is asked. When the link is
	// back, the former upstream still sends, since it got no notice.
	@Test
	void unsolicitedSenderIsUnsubscribed() {
		deliverToFollower();
		this.follower.tick(linked("third"), 2 * SECOND);
		this.requests.clear();
		this.upstream.applyFromStore(ObjectKind.RUNNERS, new ObjectStore.Change(DecodeOnlyStore.item("c", 9), false));
		assertThat(deliverToFollower(), Matchers.empty());
		this.follower.tick(linked("upstream", "third"), 2 * SECOND + SECOND / 10);
		assertThat(this.requests, Matchers.contains("-upstream"));
	}

	// The result of the entry's last call to the store arrives after it has become a
	// follower. If it counted as a failure, the entry would request everything from
	// others.
	@Test
	void storeResultAfterBecomingFollowerIsIgnored() {
		StoreRole role = StoreRole.of("follower");
		StoreReplication entry = new StoreReplication(new DecodeOnlyStore(), role, UpstreamSelector.of("follower"),
				EnumSet.allOf(ObjectKind.class), this::sendFromFollower, () -> SECOND, this.log);
		entry.storeReachable(true);
		List.of(0L, 2 * SECOND).forEach((nanos) -> role.tick(List.of("upstream"), true, nanos));
		role.statusReceived("upstream", true, true, 2 * SECOND);
		entry.stopReading();
		this.requests.clear();
		entry.storeReachable(false);
		entry.tick(linked("upstream", "third"), 3 * SECOND);
		assertThat(this.requests, Matchers.empty());
		entry.storeReachable(true);
		assertThat(entry.mayStopReading(), Matchers.equalTo(false));
	}

	// The store stops answering the entry just before the last part of the leader's
	// answer arrives. If the failure were kept, it would subscribe to an upstream
	// besides its leader, possibly across regions, and that one would never become a
	// follower.
	@Test
	void storeFailureBeforeBecomingFollowerIsDiscarded() {
		StoreRole role = StoreRole.of("follower");
		StoreReplication entry = new StoreReplication(new DecodeOnlyStore(), role, UpstreamSelector.of("follower"),
				EnumSet.allOf(ObjectKind.class), this::sendFromFollower, () -> SECOND, this.log);
		entry.storeReachable(true);
		List.of(0L, 2 * SECOND).forEach((nanos) -> role.tick(List.of("upstream"), true, nanos));
		entry.storeReachable(false);
		role.statusReceived("upstream", true, true, 2 * SECOND);
		entry.stopReading();
		this.requests.clear();
		entry.tick(linked("upstream", "third"), 3 * SECOND);
		assertThat(this.requests, Matchers.empty());
	}

	@Test
	void nothingIsSentWithoutSubscribers() {
		this.follower.storeReachable(true);
		this.upstream.requestReceived("follower", NewsRequest.getDefaultInstance());
		this.toFollower.clear();
		this.upstream.applyFromStore(ObjectKind.RUNNERS, new ObjectStore.Change(DecodeOnlyStore.item("d", 12), false));
		assertThat(this.toFollower, Matchers.empty());
	}

}
