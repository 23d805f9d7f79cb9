package org.wisteriapost.entry.direct;

import java.io.OutputStream;
import java.io.PrintStream;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumSet;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.wisteriapost.kernel.log.DecisionLog;
import org.wisteriapost.policy.fleet.LinkedEntry;
import org.wisteriapost.policy.fleet.StoreRole;
import org.wisteriapost.policy.fleet.UpstreamSelector;
import org.wisteriapost.protocol.site.ObjectKind;
import org.wisteriapost.protocol.site.ObjectStore;
import org.wisteriapost.protocol.wire.Frame;
import org.wisteriapost.protocol.wire.News;
import org.wisteriapost.protocol.wire.NewsRequest;

import static org.hamcrest.MatcherAssert.assertThat;

/**
 * Two entries, one of which the store answers, in virtual time. The link between them is
 * slow and keeps the order of frames: a small frame waits behind a large one.
 */
class SlowLinkReplicationTests {

	private static final long STEP = Duration.ofMillis(20).toNanos();

	private static final int STEPS_PER_TICK = 5;

	private static final int TABLE_BYTES = 300_000;

	// Larger than all answers without the table.
	private static final int LARGE_BYTES = TABLE_BYTES / 2;

	private final DecisionLog log = DecisionLog.start("test", new PrintStream(OutputStream.nullOutputStream()));

	private final Link toFollower = new Link();

	private final Link toUpstream = new Link();

	private final StoreReplication upstream = new StoreReplication(new DecodeOnlyStore(), StoreRole.of("upstream"),
			UpstreamSelector.of("upstream"), EnumSet.allOf(ObjectKind.class),
			(peer, frame) -> this.toFollower.send(frame), () -> this.now, this.log);

	private final StoreReplication follower = new StoreReplication(new DecodeOnlyStore(), StoreRole.of("follower"),
			UpstreamSelector.of("follower"), EnumSet.allOf(ObjectKind.class),
			(peer, frame) -> this.toUpstream.send(frame), () -> this.now, this.log);

	private final List<ObjectKind> delivered = new ArrayList<>();

	// When the follower requested objects, in milliseconds.
	private final List<Long> requestMillis = new ArrayList<>();

	private boolean legacyUpstream;

	private int tablesSent;

	private long steps;

	private long now;

	@BeforeEach
	void begin() {
		for (ObjectKind kind : ObjectKind.values()) {
			this.upstream.applyFromStore(kind,
					List.of((kind == ObjectKind.ROUTES) ? table(5) : DecodeOnlyStore.item("x", 5)), 5);
		}
		this.upstream.storeReachable(true);
		this.follower.storeReachable(false);
	}

	@AfterEach
	void stop() {
		this.log.close();
	}

	private static ObjectStore.Item table(long revision) {
		return DecodeOnlyStore.largeItem("table", revision, TABLE_BYTES);
	}

	private static boolean containsTable(Frame frame) {
		return frame.getSerializedSize() > LARGE_BYTES;
	}

	private void run(long millis) {
		for (long until = this.now + TimeUnit.MILLISECONDS.toNanos(millis); this.now < until;) {
			this.now += STEP;
			this.steps++;
			this.toUpstream.due().forEach((frame) -> this.upstream.requestReceived("follower", asReceived(frame)));
			this.toFollower.due().forEach(this::receive);
			if (this.steps % STEPS_PER_TICK == 0) {
				this.upstream.tick(List.of(LinkedEntry.unknown("follower")), this.now);
				this.follower.tick(List.of(LinkedEntry.unknown("upstream")), this.now);
			}
		}
	}

	// A legacy peer knows neither stamps nor keep-alive frames.
	private NewsRequest asReceived(Frame frame) {
		NewsRequest request = frame.getNewsRequest();
		return this.legacyUpstream ? request.toBuilder().clearStamp().clearKeepAlive().build() : request;
	}

	private void receive(Frame frame) {
		Frame.Builder received = frame.toBuilder();
		if (this.legacyUpstream) {
			received.getNewsBuilder().clearSequence();
		}
		for (DirectEvent event : this.follower.updateReceived("upstream", received.getNews())) {
			if (event instanceof DirectEvent.ObjectsListed all) {
				this.delivered.add(all.kind());
			}
		}
	}

	private boolean isComplete() {
		return this.follower.isComplete("upstream");
	}

	// The table takes longer than the retry delays, or the link is busy before the
	// answer begins. If it were requested again, each copy would be queued behind the
	// one before, the link would stay full, and callers would be rejected by a stale
	// table.
	@ParameterizedTest
	@CsvSource({ "1000, 0", "4000, 0", "7000, 0", "1000, 3000", "4000, 6000" })
	void tableInTransitIsNotRequestedAgain(long tableMillis, long busyMillis) {
		this.toFollower.tableNanos = TimeUnit.MILLISECONDS.toNanos(tableMillis);
		this.toFollower.freeNanos = TimeUnit.MILLISECONDS.toNanos(busyMillis);
		run(busyMillis + tableMillis + 2000);
		assertThat(isComplete(), Matchers.equalTo(true));
		run(5000);
		assertThat(this.tablesSent, Matchers.equalTo(1));
		assertThat(isComplete(), Matchers.equalTo(true));
	}

	// If the table were sent first, small kinds would wait behind it, and callers would
	// find no runner until it has arrived.
	@Test
	void smallKindsAreSentBeforeTable() {
		this.toFollower.tableNanos = Duration.ofSeconds(4).toNanos();
		run(1000);
		assertThat(this.delivered,
				Matchers.contains(ObjectKind.EVACUATIONS, ObjectKind.RUNNERS, ObjectKind.ENTRIES, ObjectKind.WEIGHTS));
		run(5000);
		assertThat(this.delivered, Matchers.contains(ObjectKind.EVACUATIONS, ObjectKind.RUNNERS, ObjectKind.ENTRIES,
				ObjectKind.WEIGHTS, ObjectKind.ROUTES));
	}

	// A full link drops the request, the table or the whole answer. Without a retry the
	// follower would keep a stale table.
	@ParameterizedTest
	@CsvSource({ "REQUEST", "TABLE", "ANSWER" })
	void droppedFramesAreRequestedAgain(Dropped dropped) {
		this.toFollower.tableNanos = Duration.ofSeconds(1).toNanos();
		Link link = (dropped == Dropped.REQUEST) ? this.toUpstream : this.toFollower;
		link.drops = (dropped == Dropped.TABLE) ? SlowLinkReplicationTests::containsTable : (frame) -> true;
		run(200);
		link.drops = (frame) -> false;
		assertThat(isComplete(), Matchers.equalTo(false));
		run(4000);
		assertThat(isComplete(), Matchers.equalTo(true));
		assertThat(this.tablesSent, Matchers.lessThanOrEqualTo(1));
	}

	// An entry that is to become a follower waits 600 ms for the answer and reads the
	// store itself otherwise.
	@Test
	void droppedFirstRequestIsRetriedPromptly() {
		this.toUpstream.drops = (frame) -> true;
		run(200);
		this.toUpstream.drops = (frame) -> false;
		run(500);
		assertThat(isComplete(), Matchers.equalTo(true));
	}

	// The link closes with the table in transit and is replaced by a new one.
	@Test
	void tableLostWithLinkIsRequestedAgain() {
		this.toFollower.tableNanos = Duration.ofSeconds(4).toNanos();
		run(1000);
		this.toFollower.inTransit.clear();
		this.toFollower.freeNanos = this.now;
		this.follower.linkEstablished("upstream");
		run(6000);
		assertThat(isComplete(), Matchers.equalTo(true));
		assertThat(this.tablesSent, Matchers.equalTo(2));
	}

	// The upstream loses the store and reaches it again before the table has arrived.
	// It has removed its subscribers, which would receive no further changes.
	@Test
	void upstreamIsAskedAgainAfterStoreOutage() {
		this.toFollower.tableNanos = Duration.ofSeconds(1).toNanos();
		run(500);
		this.upstream.storeReachable(false);
		run(300);
		this.upstream.storeReachable(true);
		run(6000);
		assertThat(isComplete(), Matchers.equalTo(true));
		assertThat(this.upstream.hasSubscribers(), Matchers.equalTo(true));
	}

	// Nothing proves that the answer of a legacy peer has passed, so the request is
	// repeated by time. A heartbeat just before the answer proves nothing either.
	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	void peerWithoutStampEchoIsAskedAfterEachRetryDelay(boolean heartbeatFirst) {
		this.legacyUpstream = true;
		this.toFollower.drops = SlowLinkReplicationTests::containsTable;
		run(100);
		if (heartbeatFirst) {
			this.toFollower.send(Frame.newBuilder().setNews(News.newBuilder().setCurrent(true)).build());
		}
		run(3900);
		assertThat(this.requestMillis, Matchers.contains(100L, 500L, 1200L, 2500L, 3800L));
	}

	/** What a full link drops. */
	enum Dropped {

		/** The first request of the follower. */
		REQUEST,
		/** The frame with the table. */
		TABLE,
		/** All frames of the answer. */
		ANSWER

	}

	private record InTransit(Frame frame, long dueNanos) {
	}

	/**
	 * One direction of a link: the table takes time, and small frames wait behind it.
	 */
	private final class Link {

		private final Deque<InTransit> inTransit = new ArrayDeque<>();

		private Predicate<Frame> drops = (frame) -> false;

		private long tableNanos;

		private long freeNanos;

		private void send(Frame frame) {
			if (this == SlowLinkReplicationTests.this.toUpstream && !frame.getNewsRequest().getKeepAlive()) {
				SlowLinkReplicationTests.this.requestMillis
					.add(TimeUnit.NANOSECONDS.toMillis(SlowLinkReplicationTests.this.now));
			}
			if (this.drops.test(frame)) {
				return;
			}
			if (containsTable(frame)) {
				SlowLinkReplicationTests.this.tablesSent++;
			}
			this.freeNanos = Math.max(this.freeNanos, SlowLinkReplicationTests.this.now)
					+ (containsTable(frame) ? this.tableNanos : 0);
			this.inTransit.add(new InTransit(frame, this.freeNanos));
		}

		private List<Frame> due() {
			List<Frame> due = new ArrayList<>();
			while (!this.inTransit.isEmpty()
					&& this.inTransit.getFirst().dueNanos <= SlowLinkReplicationTests.this.now) {
				due.add(this.inTransit.removeFirst().frame);
			}
			return due;
		}

	}

}
