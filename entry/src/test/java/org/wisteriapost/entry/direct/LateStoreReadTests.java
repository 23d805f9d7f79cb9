package org.wisteriapost.entry.direct;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.wisteriapost.kernel.CodedException;
import org.wisteriapost.protocol.site.ObjectKind;
import org.wisteriapost.protocol.site.ObjectStore;

import static org.hamcrest.MatcherAssert.assertThat;

/**
 * A read that completes after the entry has become a follower is discarded, and the watch
 * would resume behind it. It must be read again, or callers are rejected by a stale table
 * or sent to a removed runner. An update of a peer that is older than what the entry has
 * read itself is ignored.
 */
class LateStoreReadTests {

	private static final String KNOWN = "/known/";

	private static final Optional<String> TOKEN = Optional.of(EntryStateFixture.TOKEN);

	private static final String OLD_ADDRESS = "10.0.0.1:80";

	private static final String NEW_ADDRESS = "10.0.0.2:80";

	private final EntryStateFixture bench = new EntryStateFixture(Optional.of(Duration.ofSeconds(5)));

	@AfterEach
	void stop() {
		this.bench.close();
	}

	static Stream<Arguments> kindsAndReadModes() {
		return Stream.of(ObjectKind.values())
			.flatMap((kind) -> Stream.of(false, true).map((listed) -> Arguments.of(kind, listed)));
	}

	@ParameterizedTest
	@MethodSource("kindsAndReadModes")
	void discardedReadIsRepeated(ObjectKind kind, boolean listed) {
		List<ObjectStore.Item> routes = List.of(this.bench.routes(5, EntryStateFixture.table(1, KNOWN)));
		List<ObjectStore.Item> runners = List.of(this.bench.runner(5, OLD_ADDRESS));
		this.bench.followStore(routes, runners);
		this.bench.listOnLeader(routes, runners);
		this.bench.runUntilSubscribed();
		completeRead(kind, listed);
		this.bench.deliverUpdates();
		this.bench.applyStoreEvents();
		this.bench.store().drainCalls();
		this.bench.link(false);
		this.bench.run(Duration.ofMillis(200));
		assertThat(this.bench.store().drainCalls(), Matchers.containsInAnyOrder(expectedCalls(EnumSet.of(kind))));
	}

	// Guards against a rejection by a table that lacks a change: the change was discarded
	// while the entry followed a leader, and the confirmation that belongs to it arrives
	// after the leader was lost.
	@Test
	void confirmationOfADiscardedReadRejectsNothing() {
		List<ObjectStore.Item> routes = List.of(this.bench.routes(5, EntryStateFixture.table(1, KNOWN)));
		List<ObjectStore.Item> runners = List.of(this.bench.runner(5, OLD_ADDRESS));
		this.bench.listOnBoth(routes, runners);
		this.bench.runUntilSubscribed();
		this.bench.deliverUpdates();
		ObjectStore.Change added = new ObjectStore.Change(
				this.bench.routes(9, EntryStateFixture.table(2, KNOWN, "/added/")), false);
		this.bench.apply(new DirectEvent.ObjectChanged(ObjectKind.ROUTES, added));
		this.bench.link(false);
		this.bench.run(Duration.ofSeconds(4));
		this.bench.apply(new DirectEvent.StoreConfirmed(ObjectKind.ROUTES, this.bench.now()));
		assertThat(this.bench.request("/added/", TOKEN), Matchers.equalTo("refused table-doubtful"));
	}

	// If nothing was discarded, only later changes are requested.
	@Test
	void appliedReadIsNotRepeated() {
		List<ObjectStore.Item> routes = List.of(this.bench.routes(5, EntryStateFixture.table(1, KNOWN)));
		List<ObjectStore.Item> runners = List.of(this.bench.runner(5, OLD_ADDRESS));
		this.bench.followStore(routes, runners);
		this.bench.listOnLeader(routes, runners);
		this.bench.runUntilSubscribed();
		this.bench.deliverUpdates();
		this.bench.store().drainCalls();
		this.bench.link(false);
		this.bench.run(Duration.ofMillis(200));
		assertThat(this.bench.store().drainCalls(), Matchers.containsInAnyOrder(expectedCalls(Set.of())));
	}

	private void completeRead(ObjectKind kind, boolean listed) {
		if (listed) {
			this.bench.store().watch(kind).completeExceptionally(CodedException.of(ObjectStore.HISTORY_GONE, "test"));
			return;
		}
		ObjectStore.Item item = this.bench.runner(9, NEW_ADDRESS);
		this.bench.store()
			.watch(kind)
			.complete(new ObjectStore.Changes(List.of(new ObjectStore.Change(item, false)), 9));
	}

	private static String[] expectedCalls(Set<ObjectKind> listedKinds) {
		List<String> calls = new ArrayList<>();
		for (ObjectKind kind : ObjectKind.values()) {
			calls.add((listedKinds.contains(kind) ? "list " : "since ") + kind);
			if (listedKinds.contains(kind)) {
				calls.add("watch " + kind);
			}
		}
		return calls.toArray(String[]::new);
	}

	// The store does not answer this entry, and the peer that it asks has missed the
	// last change.
	@ParameterizedTest
	@CsvSource({ "MOVED,sent to " + NEW_ADDRESS, "REMOVED,waits", "ROUTE_DROPPED,refused table-doubtful" })
	void olderUpdateFromPeerIsIgnored(Changed changed, String answer) {
		List<ObjectStore.Item> routes = List.of(this.bench.routes(5, EntryStateFixture.table(1, KNOWN)));
		List<ObjectStore.Item> runners = List.of(this.bench.runner(5, OLD_ADDRESS));
		this.bench.listOnBoth(routes, runners);
		ObjectStore.Change change = switch (changed) {
			case MOVED -> new ObjectStore.Change(this.bench.runner(9, NEW_ADDRESS), false);
			case REMOVED -> new ObjectStore.Change(this.bench.runner(9, OLD_ADDRESS), true);
			case ROUTE_DROPPED ->
				new ObjectStore.Change(this.bench.routes(9, EntryStateFixture.table(2, "/other/")), false);
		};
		ObjectKind kind = (changed == Changed.ROUTE_DROPPED) ? ObjectKind.ROUTES : ObjectKind.RUNNERS;
		this.bench.apply(new DirectEvent.ObjectChanged(kind, change));
		this.bench.apply(new DirectEvent.StoreReachability(ObjectKind.RUNNERS, false));
		this.bench.link(true);
		this.bench.run(Duration.ofSeconds(1));
		assertThat(this.bench.request(KNOWN, TOKEN), Matchers.equalTo(answer));
	}

	/** The change that the peer has missed. */
	enum Changed {

		MOVED, REMOVED, ROUTE_DROPPED

	}

}
