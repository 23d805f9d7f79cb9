package org.wisteriapost.entry.direct;

import java.io.OutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.OptionalLong;

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

import static org.hamcrest.MatcherAssert.assertThat;

/**
 * An entry learns from another how stale its routes are. Each has a monotonic clock of
 * its own.
 */
class ReplicatedStalenessTests {

	private static final long MILLI = 1_000_000;

	private static final long TICK = 100 * MILLI;

	// Monotonic clocks of two processes are unrelated.
	private static final long CLOCK_OFFSET_NANOS = -7_777_777_777_777L;

	private final DecisionLog log = DecisionLog.start("test", new PrintStream(OutputStream.nullOutputStream()));

	private final List<Frame> answers = new ArrayList<>();

	private final List<Frame> requests = new ArrayList<>();

	private final StoreReplication upstream = new StoreReplication(new DecodeOnlyStore(), StoreRole.of("upstream"),
			UpstreamSelector.of("upstream"), EnumSet.allOf(ObjectKind.class), (peer, frame) -> this.answers.add(frame),
			() -> this.now + CLOCK_OFFSET_NANOS, this.log);

	private final StoreReplication follower = new StoreReplication(new DecodeOnlyStore(), StoreRole.of("follower"),
			UpstreamSelector.of("follower"), EnumSet.allOf(ObjectKind.class), (peer, frame) -> this.requests.add(frame),
			() -> this.now, this.log);

	private long now = 1000 * MILLI;

	@BeforeEach
	void subscribe() {
		this.upstream.storeReachable(true);
		for (ObjectKind kind : ObjectKind.values()) {
			this.upstream.applyFromStore(kind, List.of(DecodeOnlyStore.item("x", 5)), 5);
		}
		this.follower.storeReachable(false);
		this.follower.tick(List.of(LinkedEntry.unknown("upstream")), this.now);
	}

	@AfterEach
	void stop() {
		this.log.close();
	}

	private void confirmAtUpstream(long nanos) {
		this.upstream.routesConfirmed(nanos + CLOCK_OFFSET_NANOS);
	}

	private void run(int ticks) {
		for (int i = 0; i < ticks; i++) {
			this.now += TICK;
			this.upstream.tick(List.of(LinkedEntry.unknown("follower")), this.now + CLOCK_OFFSET_NANOS);
			this.follower.tick(List.of(LinkedEntry.unknown("upstream")), this.now);
		}
	}

	private void deliverRequests() {
		List<Frame> sent = List.copyOf(this.requests);
		this.requests.clear();
		sent.forEach((frame) -> this.upstream.requestReceived("follower", frame.getNewsRequest()));
	}

	private void deliverAnswers() {
		List<Frame> sent = List.copyOf(this.answers);
		this.answers.clear();
		sent.forEach((frame) -> this.follower.updateReceived("upstream", frame.getNews()));
	}

	private void exchange() {
		deliverRequests();
		deliverAnswers();
	}

	@Test
	void confirmedTimeIsRequestTimeLessUpstreamStaleness() {
		confirmAtUpstream(this.now - 250 * MILLI);
		exchange();
		assertThat(this.follower.routesConfirmedNanos(), Matchers.equalTo(OptionalLong.of(this.now - 250 * MILLI)));
	}

	// Staleness is sent in milliseconds. Rounded down, the routes would seem fresher
	// than they are.
	@Test
	void stalenessIsRoundedUpToMilliseconds() {
		confirmAtUpstream(this.now - 1);
		exchange();
		assertThat(this.follower.routesConfirmedNanos(), Matchers.equalTo(OptionalLong.of(this.now - MILLI)));
	}

	// The upstream's routes are confirmed while the request is in transit, at a time
	// that is unknown on the follower's clock.
	@Test
	void transitTimeNeverReducesStaleness() {
		long stamped = this.now;
		this.now += 5 * TICK;
		confirmAtUpstream(this.now);
		deliverRequests();
		this.now += 5 * TICK;
		deliverAnswers();
		assertThat(this.follower.routesConfirmedNanos(), Matchers.equalTo(OptionalLong.of(stamped)));
	}

	@Test
	void heartbeatsRenewConfirmedTime() {
		confirmAtUpstream(this.now);
		exchange();
		run(4);
		confirmAtUpstream(this.now);
		exchange();
		assertThat(this.follower.routesConfirmedNanos(), Matchers.equalTo(OptionalLong.of(this.now)));
		assertThat(this.answers, Matchers.empty());
	}

	@Test
	void confirmedTimeNeverDecreases() {
		confirmAtUpstream(this.now);
		exchange();
		OptionalLong before = this.follower.routesConfirmedNanos();
		this.follower.routesConfirmed(this.now - TICK);
		assertThat(this.follower.routesConfirmedNanos(), Matchers.equalTo(before));
		this.follower.routesConfirmed(this.now + TICK);
		assertThat(this.follower.routesConfirmedNanos(), Matchers.equalTo(OptionalLong.of(this.now + TICK)));
	}

	@Test
	void upstreamWithoutConfirmationSendsNoAge() {
		exchange();
		assertThat(this.follower.routesConfirmedNanos(), Matchers.equalTo(OptionalLong.empty()));
	}

	// A changed token is lost, and the next heartbeat confirms the upstream's routes.
	// It must not confirm the follower's, which would reject the new token.
	@Test
	void heartbeatAfterGapDoesNotConfirmRoutes() {
		confirmAtUpstream(this.now);
		exchange();
		OptionalLong before = this.follower.routesConfirmedNanos();
		this.upstream.applyFromStore(ObjectKind.ROUTES, new ObjectStore.Change(DecodeOnlyStore.item("x", 9), false));
		this.answers.clear();
		run(4);
		confirmAtUpstream(this.now);
		exchange();
		assertThat(this.follower.routesConfirmedNanos(), Matchers.equalTo(before));
		exchange();
		assertThat(this.follower.routesConfirmedNanos(), Matchers.equalTo(OptionalLong.of(this.now)));
	}

	@Test
	void answerWithoutRoutesDoesNotConfirmRoutes() {
		confirmAtUpstream(this.now);
		deliverRequests();
		this.answers.removeIf((frame) -> frame.getNews().getKind() == ReplicatedKinds.toWire(ObjectKind.ROUTES));
		deliverAnswers();
		assertThat(this.follower.routesConfirmedNanos(), Matchers.equalTo(OptionalLong.empty()));
	}

	// The answer references routes that the follower dropped since its request.
	@Test
	void answerReferencingUnknownRoutesDoesNotConfirmRoutes() {
		this.follower.storeReachable(true);
		this.follower.applyFromStore(ObjectKind.ROUTES, List.of(DecodeOnlyStore.item("x", 5)), 5);
		this.requests.clear();
		this.follower.storeReachable(false);
		this.follower.tick(List.of(LinkedEntry.unknown("upstream")), this.now);
		confirmAtUpstream(this.now);
		deliverRequests();
		this.follower.applyFromStore(ObjectKind.ROUTES, List.of(), 4);
		deliverAnswers();
		assertThat(this.follower.routesConfirmedNanos(), Matchers.equalTo(OptionalLong.empty()));
	}

	// A stamp of an earlier process of this name, from another clock.
	@Test
	void unknownStampIsIgnored() {
		exchange();
		News foreign = News.newBuilder().setCurrent(true).setStamp(this.now + 1).setAgeMillis(0).build();
		this.follower.updateReceived("upstream", foreign);
		assertThat(this.follower.routesConfirmedNanos(), Matchers.equalTo(OptionalLong.empty()));
	}

	// The notice that ended the subscription was lost. The upstream's updates would
	// never arrive again.
	@Test
	void subscriberForgottenByUpstreamSubscribesAgain() {
		confirmAtUpstream(this.now);
		exchange();
		this.upstream.dismissSubscribers();
		this.answers.clear();
		run(4);
		exchange();
		exchange();
		assertThat(this.follower.isComplete("upstream"), Matchers.equalTo(true));
		assertThat(this.upstream.hasSubscribers(), Matchers.equalTo(true));
	}

	// A late unsubscribe notice of an earlier subscription removes the current one. No
	// frame is lost, and the heartbeats would go on.
	@Test
	void subscriberRemovedByLateUnsubscribeSubscribesAgain() {
		exchange();
		this.upstream.requestReceived("follower", StoreReplication.unsubscribeFrame().getNewsRequest());
		run(4);
		exchange();
		exchange();
		assertThat(this.upstream.hasSubscribers(), Matchers.equalTo(true));
		assertThat(this.follower.isComplete("upstream"), Matchers.equalTo(true));
	}

	@Test
	void keepAliveIsAnsweredByOneHeartbeat() {
		exchange();
		this.upstream.requestReceived("follower",
				NewsRequest.newBuilder().setWanted(true).setKeepAlive(true).setStamp(this.now).build());
		assertThat(this.answers, Matchers.hasSize(1));
		assertThat(this.answers.getFirst().getNews().getObjectsList(), Matchers.empty());
		assertThat(this.answers.getFirst().getNews().getCurrent(), Matchers.equalTo(true));
	}

	@Test
	void upstreamWithoutStoreReportsNotCurrent() {
		exchange();
		this.upstream.storeReachable(false);
		this.answers.clear();
		this.upstream.requestReceived("follower", NewsRequest.newBuilder().setWanted(true).setKeepAlive(true).build());
		assertThat(this.answers.getFirst().getNews().getCurrent(), Matchers.equalTo(false));
	}

	// A legacy peer answers each request with everything.
	@Test
	void peerWithoutSequenceIsSentNoKeepAlive() {
		deliverRequests();
		this.answers.forEach((frame) -> this.follower.updateReceived("upstream",
				frame.getNews().toBuilder().clearSequence().build()));
		run(10);
		assertThat(this.requests, Matchers.empty());
	}

}
