package org.wisteriapost.entry.direct;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wisteriapost.protocol.site.ObjectKind;
import org.wisteriapost.protocol.site.ObjectStore;

import static org.hamcrest.MatcherAssert.assertThat;

/**
 * One entry with its leader while the failure domain of the only runner is evacuated.
 */
class EvacuationStateTests {

	private static final String KNOWN = "/known/";

	private static final Optional<String> TOKEN = Optional.of(EntryStateFixture.TOKEN);

	private static final String ADDRESS = "10.0.0.1:80";

	private static final String SENT = "sent to " + ADDRESS;

	private static final String REFUSED = "refused no-usable-runner";

	private static final Optional<Duration> DELAY = Optional.of(Duration.ofSeconds(5));

	private EntryStateFixture bench;

	private List<ObjectStore.Item> routes;

	private List<ObjectStore.Item> runners;

	@BeforeEach
	void start() {
		use(new EntryStateFixture(DELAY));
	}

	private void use(EntryStateFixture fixture) {
		stop();
		this.bench = fixture;
		this.routes = List.of(this.bench.routes(5, EntryStateFixture.table(1, KNOWN)));
		this.runners = List.of(this.bench.runner(5, ADDRESS));
	}

	@AfterEach
	void stop() {
		Optional.ofNullable(this.bench).ifPresent(EntryStateFixture::close);
	}

	private void follow() {
		this.bench.followStore(this.routes, this.runners);
		this.bench.listOnLeader(this.routes, this.runners);
		this.bench.runUntilSubscribed();
		this.bench.deliverUpdates();
		this.bench.run(Duration.ofMillis(300));
	}

	private ObjectStore.Change put(long revision) {
		return new ObjectStore.Change(this.bench.evacuation(revision, "p1"), false);
	}

	private ObjectStore.Change removed(long revision) {
		return new ObjectStore.Change(this.bench.evacuation(revision, "p1"), true);
	}

	private void changeAtLeader(ObjectStore.Change change) {
		this.bench.leader().applyFromStore(ObjectKind.EVACUATIONS, change);
		this.bench.deliverUpdates();
	}

	private void changeInStore(ObjectStore.Change change) {
		this.bench.store()
			.watch(ObjectKind.EVACUATIONS)
			.complete(new ObjectStore.Changes(List.of(change), change.item().revision()));
		this.bench.applyStoreEvents();
	}

	private void read(ObjectStore.Change change) {
		this.bench.apply(new DirectEvent.ObjectChanged(ObjectKind.EVACUATIONS, change));
	}

	private String request() {
		return this.bench.request(KNOWN, TOKEN);
	}

	// Guards against an evacuation that stays in force after its removal, and against a
	// follower that knows neither.
	@Test
	void followerAppliesStartAndEndFromLeader() {
		follow();
		assertThat(request(), Matchers.equalTo(SENT));
		changeAtLeader(put(9));
		assertThat(request(), Matchers.equalTo(REFUSED));
		changeAtLeader(removed(10));
		assertThat(request(), Matchers.equalTo(SENT));
	}

	// A listing without the object ends the evacuation: the removal itself was missed.
	@Test
	void listingWithoutObjectEndsEvacuation() {
		this.bench.evacuations(this.bench.evacuation(4, "p1")).listOnSelf(this.routes, this.runners);
		assertThat(request(), Matchers.equalTo(REFUSED));
		this.bench.evacuations().listOnSelf(this.routes, this.runners);
		assertThat(request(), Matchers.equalTo(SENT));
	}

	// The entry is cut off from the store and asks another. Guards against the last
	// known state being lost, and against news that reach only entries with a store.
	@Test
	void entryCutOffFromStoreLearnsOfEvacuationFromPeer() {
		this.bench.listOnBoth(this.routes, this.runners);
		this.bench.apply(new DirectEvent.StoreReachability(ObjectKind.RUNNERS, false));
		this.bench.link(true);
		this.bench.run(Duration.ofSeconds(1));
		changeAtLeader(put(9));
		assertThat(request(), Matchers.equalTo(REFUSED));
		this.bench.link(false);
		this.bench.run(Duration.ofSeconds(5));
		assertThat(request(), Matchers.equalTo(REFUSED));
	}

	// The leader dies before it has passed the evacuation on.
	@Test
	void followerReadsKindItselfWhenLeaderDies() {
		follow();
		this.bench.link(false);
		this.bench.run(Duration.ofMillis(300));
		changeInStore(put(9));
		assertThat(request(), Matchers.equalTo(REFUSED));
	}

	// Guards against requests sent to the domain by an entry that has read the runners
	// but not yet the evacuations, and against one that is advertised meanwhile.
	@Test
	void startingEntryWaitsForTheKind() {
		for (ObjectKind kind : List.of(ObjectKind.ROUTES, ObjectKind.RUNNERS, ObjectKind.WEIGHTS, ObjectKind.ENTRIES)) {
			this.bench.apply(new DirectEvent.ObjectsListed(kind,
					(kind == ObjectKind.ROUTES) ? this.routes : (kind == ObjectKind.RUNNERS) ? this.runners : List.of(),
					5));
		}
		assertThat(this.bench.view().ready(), Matchers.equalTo(false));
		assertThat(request(), Matchers.equalTo("refused evacuations-unknown"));
		this.bench
			.apply(new DirectEvent.ObjectsListed(ObjectKind.EVACUATIONS, List.of(this.bench.evacuation(4, "p1")), 5));
		assertThat(this.bench.view().ready(), Matchers.equalTo(true));
		assertThat(request(), Matchers.equalTo(REFUSED));
		read(removed(6));
		assertThat(request(), Matchers.equalTo(SENT));
	}

	// An object is removed and put again within a second, and updates of a peer that is
	// behind arrive afterwards.
	@Test
	void higherRevisionWinsWhenObjectIsPutAgain() {
		this.bench.listOnBoth(this.routes, this.runners);
		this.bench.apply(new DirectEvent.StoreReachability(ObjectKind.RUNNERS, false));
		this.bench.link(true);
		this.bench.run(Duration.ofSeconds(1));
		read(put(6));
		read(removed(6));
		read(put(8));
		assertThat(request(), Matchers.equalTo(REFUSED));
		changeAtLeader(put(6));
		changeAtLeader(removed(6));
		assertThat(request(), Matchers.equalTo(REFUSED));
		changeAtLeader(removed(8));
		changeAtLeader(put(6));
		assertThat(request(), Matchers.equalTo(SENT));
	}

	// Guards against an object whose content can't be read evacuating a domain, and
	// against it leaving an older readable state in force.
	@Test
	void unreadableObjectEvacuatesNothing() {
		this.bench.listOnSelf(this.routes, this.runners);
		read(new ObjectStore.Change(unreadable(6), false));
		assertThat(request(), Matchers.equalTo(SENT));
		read(put(7));
		read(new ObjectStore.Change(unreadable(8), false));
		assertThat(request(), Matchers.equalTo(SENT));
		this.bench.evacuations(unreadable(9)).listOnSelf(this.routes, this.runners);
		assertThat(request(), Matchers.equalTo(SENT));
	}

	private static ObjectStore.Item unreadable(long revision) {
		return new ObjectStore.Item("p1", revision, Optional.empty(),
				() -> ("p1@" + revision).getBytes(StandardCharsets.UTF_8));
	}

	// The leader is of an older version, or its settings have no evacuations. Guards
	// against a follower that misses the kind, and against one that reads the others too.
	@Test
	void followerReadsKindThatItsLeaderDoesNotSend() {
		use(new EntryStateFixture(DELAY, false));
		this.bench.followStore(this.routes, this.runners);
		this.bench.listOnLeader(this.routes, this.runners);
		this.bench.runUntilSubscribed();
		this.bench.store().drainCalls();
		this.bench.deliverUpdates();
		this.bench.run(Duration.ofSeconds(5));
		assertThat(this.bench.leader().hasSubscribers(), Matchers.equalTo(true));
		assertThat(this.bench.store().drainCalls(), Matchers.contains("since EVACUATIONS"));
		changeInStore(put(9));
		assertThat(request(), Matchers.equalTo(REFUSED));
		this.bench.link(false);
		this.bench.run(Duration.ofMillis(300));
		assertThat(this.bench.store().drainCalls(), Matchers.hasItem("since RUNNERS"));
	}

	// Guards against an entry without a store that asks a peer of an older version for
	// the kind again and again, each time for everything.
	@Test
	void peerWithoutTheKindIsNotAskedAgain() {
		use(new EntryStateFixture(DELAY, false));
		this.bench.listOnBoth(this.routes, this.runners);
		this.bench.apply(new DirectEvent.StoreReachability(ObjectKind.RUNNERS, false));
		this.bench.link(true);
		this.bench.run(Duration.ofSeconds(10));
		long requests = this.bench.sentFrames()
			.stream()
			.filter((frame) -> frame.hasNewsRequest() && !frame.getNewsRequest().getKeepAlive())
			.count();
		assertThat(requests, Matchers.equalTo(1L));
		assertThat(request(), Matchers.equalTo(SENT));
	}

	// An entry of an older version, or without evacuations, follows a leader that sends
	// the kind. Guards against its frames being taken for something else.
	@Test
	void followerWithoutTheKindIgnoresItsFrames() {
		use(new EntryStateFixture(Optional.empty(), true));
		follow();
		changeAtLeader(put(9));
		this.bench.run(Duration.ofSeconds(2));
		assertThat(this.bench.leader().hasSubscribers(), Matchers.equalTo(true));
		assertThat(request(), Matchers.equalTo(SENT));
	}

	// Guards against calls to the store and bytes in frames for a kind that is not used.
	@ParameterizedTest
	@CsvSource({ "false, 0", "true, 2" })
	void kindCostsCallsAndFramesOnlyWhereItIsUsed(boolean used, int calls) {
		use(new EntryStateFixture(used ? DELAY : Optional.empty()));
		follow();
		this.bench.run(Duration.ofSeconds(5));
		List<String> ofKind = this.bench.store()
			.drainCalls()
			.stream()
			.filter((call) -> call.endsWith(" EVACUATIONS"))
			.toList();
		assertThat(ofKind, Matchers.hasSize(calls));
		boolean named = this.bench.sentFrames()
			.stream()
			.flatMap((frame) -> frame.getNewsRequest().getKnownList().stream())
			.anyMatch((known) -> known.getKindValue() == 5);
		assertThat(named, Matchers.equalTo(used));
	}

}
