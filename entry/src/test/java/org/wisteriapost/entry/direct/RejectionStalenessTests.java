package org.wisteriapost.entry.direct;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.wisteriapost.policy.routing.RouteTable;
import org.wisteriapost.protocol.site.ObjectKind;
import org.wisteriapost.protocol.wire.Frame;
import org.wisteriapost.protocol.wire.NewsRequest;

import static org.hamcrest.MatcherAssert.assertThat;

/**
 * A final rejection for an unknown route or token or an excessive size requires that the
 * table was confirmed within nine tenths of the site's bound. Otherwise a route that was
 * declared in the meantime would be rejected.
 */
class RejectionStalenessTests {

	private static final String KNOWN = "/known/";

	private static final Optional<String> TOKEN = Optional.of(EntryStateFixture.TOKEN);

	private static final Duration TEN_SECONDS = Duration.ofSeconds(10);

	private final EntryStateFixture bench = new EntryStateFixture();

	@BeforeEach
	void read() {
		this.bench.listOnBoth(List.of(this.bench.routes(5, EntryStateFixture.table(1, KNOWN))),
				List.of(this.bench.runner(5, "10.0.0.1:80")));
	}

	@AfterEach
	void stop() {
		this.bench.close();
	}

	private void confirmed(ObjectKind kind, long asOfNanos) {
		this.bench.apply(new DirectEvent.StoreConfirmed(kind, asOfNanos));
	}

	private static long millis(long count) {
		return count * EntryStateFixture.MILLI;
	}

	@ParameterizedTest
	@EnumSource
	void unconfirmedTableRejectsNothing(Fault fault) {
		assertThat(fault.answer(this.bench), Matchers.equalTo(Fault.DOUBTFUL));
	}

	@ParameterizedTest
	@CsvSource({ "ROUTE,0,true", "ROUTE,2700,true", "ROUTE,2701,false", "TOKEN,0,true", "TOKEN,2700,true",
			"TOKEN,2701,false", "NO_TOKEN,0,true", "NO_TOKEN,2700,true", "NO_TOKEN,2701,false", "SIZE,0,true",
			"SIZE,2700,true", "SIZE,2701,false" })
	void onlyRecentlyConfirmedTableRejects(Fault fault, long stalenessMillis, boolean rejects) {
		confirmed(ObjectKind.ROUTES, this.bench.now() - millis(stalenessMillis));
		assertThat(fault.answer(this.bench), Matchers.equalTo(rejects ? fault.rejection : Fault.DOUBTFUL));
	}

	@ParameterizedTest
	@EnumSource
	void confirmationOfOtherKindsRejectsNothing(Fault fault) {
		for (ObjectKind kind : ObjectKind.values()) {
			if (kind != ObjectKind.ROUTES) {
				confirmed(kind, this.bench.now());
			}
		}
		assertThat(fault.answer(this.bench), Matchers.equalTo(Fault.DOUBTFUL));
	}

	// The store's answer is in transit while the VM is suspended. By the monotonic
	// clock it is some milliseconds old when it is read.
	@ParameterizedTest
	@EnumSource
	void confirmationBeforeSuspensionRejectsNothing(Fault fault) {
		confirmed(ObjectKind.ROUTES, this.bench.now());
		long callNanos = this.bench.now();
		this.bench.suspend(TEN_SECONDS);
		this.bench.tick();
		assertThat(fault.answer(this.bench), Matchers.equalTo(Fault.DOUBTFUL));
		confirmed(ObjectKind.ROUTES, callNanos);
		assertThat(fault.answer(this.bench), Matchers.equalTo(Fault.DOUBTFUL));
		confirmed(ObjectKind.ROUTES, this.bench.now());
		assertThat(fault.answer(this.bench), Matchers.equalTo(fault.rejection));
	}

	// Guards against rejecting a request for what the store had accepted before it was
	// restored, while operators have not written it again.
	@ParameterizedTest
	@EnumSource
	void restoredStoreConfirmsNothingUntilOperatorsHaveWrittenAgain(Fault fault) {
		this.bench.apply(new DirectEvent.StoreEpochRead(ObjectKind.ROUTES, 1));
		confirmed(ObjectKind.ROUTES, this.bench.now());
		assertThat(fault.answer(this.bench), Matchers.equalTo(Fault.DOUBTFUL));
		this.bench.advanceClocks(3000);
		confirmed(ObjectKind.ROUTES, this.bench.now());
		assertThat(fault.answer(this.bench), Matchers.equalTo(fault.rejection));
		this.bench.apply(new DirectEvent.StoreEpochRead(ObjectKind.ROUTES, 2));
		assertThat(fault.answer(this.bench), Matchers.equalTo(Fault.DOUBTFUL));
		this.bench.suspend(Duration.ofMillis(10));
		this.bench.advanceClocks(2999);
		confirmed(ObjectKind.ROUTES, this.bench.now());
		assertThat(fault.answer(this.bench), Matchers.equalTo(Fault.DOUBTFUL));
		this.bench.advanceClocks(1);
		confirmed(ObjectKind.ROUTES, this.bench.now());
		assertThat(fault.answer(this.bench), Matchers.equalTo(fault.rejection));
	}

	// Guards against a store that confirms an older table than callers were promised.
	@ParameterizedTest
	@EnumSource
	void storeWithAnOlderTableConfirmsNothing(Fault fault) {
		list(6, EntryStateFixture.table(2, KNOWN));
		list(4, EntryStateFixture.table(1, KNOWN));
		confirmed(ObjectKind.ROUTES, this.bench.now());
		assertThat(fault.answer(this.bench), Matchers.equalTo(Fault.DOUBTFUL));
		list(5, EntryStateFixture.table(2, KNOWN));
		confirmed(ObjectKind.ROUTES, this.bench.now());
		assertThat(fault.answer(this.bench), Matchers.equalTo(fault.rejection));
	}

	private void list(long revision, RouteTable table) {
		this.bench.apply(new DirectEvent.ObjectsListed(ObjectKind.ROUTES, List.of(this.bench.routes(revision, table)),
				revision));
	}

	// The front checks sizes on its own thread, by what the state thread has published
	// last. The state thread is delayed, or the VM was suspended since.
	@ParameterizedTest
	@CsvSource({ "2700,0,true", "2701,0,false", "0,10000,false" })
	void sizeCheckUsesCurrentStaleness(long passedMillis, long suspendedMillis, boolean rejects) {
		confirmed(ObjectKind.ROUTES, this.bench.now());
		this.bench.advanceClocks(passedMillis);
		this.bench.suspend(Duration.ofMillis(suspendedMillis));
		assertThat(this.bench.view().mayReject(), Matchers.equalTo(rejects));
	}

	// The leader reads for this entry. A call of its own from before it became a
	// follower confirms nothing.
	@ParameterizedTest
	@EnumSource
	void followerIsConfirmedByLeaderOnly(Fault fault) {
		this.bench.runUntilSubscribed();
		this.bench.deliverUpdates();
		confirmed(ObjectKind.ROUTES, this.bench.now());
		assertThat(fault.answer(this.bench), Matchers.equalTo(Fault.DOUBTFUL));
		this.bench.leader().routesConfirmed(this.bench.now() - millis(2700));
		this.bench.run(Duration.ofSeconds(1));
		assertThat(fault.answer(this.bench), Matchers.equalTo(Fault.DOUBTFUL));
		this.bench.leader().routesConfirmed(this.bench.now());
		this.bench.run(Duration.ofMillis(1100));
		assertThat(fault.answer(this.bench), Matchers.equalTo(fault.rejection));
	}

	// The leader was suspended. It must not send a staleness until its routes are
	// confirmed by a later call: its followers would understate theirs by the length of
	// the suspension.
	@ParameterizedTest
	@CsvSource({ "-1,false", "0,true" })
	void leaderSendsNoAgeFromBeforeSuspension(long callOffsetMillis, boolean sent) {
		this.bench.link(true);
		confirmed(ObjectKind.ROUTES, this.bench.now());
		this.bench.suspend(TEN_SECONDS);
		this.bench.tick();
		confirmed(ObjectKind.ROUTES, this.bench.now() + millis(callOffsetMillis));
		this.bench.sentFrames().clear();
		NewsRequest request = NewsRequest.newBuilder().setWanted(true).setStamp(7).build();
		this.bench.apply(new DirectEvent.PeerSubscriptionChanged(EntryStateFixture.LEADER, request));
		Frame answer = this.bench.sentFrames().getLast();
		assertThat(answer.getNews().getCurrent(), Matchers.equalTo(true));
		assertThat(answer.getNews().hasAgeMillis(), Matchers.equalTo(sent));
	}

	/** What is wrong with a request. */
	enum Fault {

		ROUTE("rejected 404"), TOKEN("rejected 401"), NO_TOKEN("rejected 401"), SIZE("rejected");

		static final String DOUBTFUL = "refused " + RequestAdmission.TABLE_DOUBTFUL.name();

		final String rejection;

		Fault(String rejected) {
			this.rejection = rejected;
		}

		// The front checks the size before it passes a request on.
		String answer(EntryStateFixture bench) {
			return switch (this) {
				case ROUTE -> bench.request("/other/", RejectionStalenessTests.TOKEN);
				case TOKEN -> bench.request(KNOWN, Optional.of("other"));
				case NO_TOKEN -> bench.request(KNOWN, Optional.empty());
				case SIZE -> bench.view().mayReject() ? this.rejection : DOUBTFUL;
			};
		}

	}

}
