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
import org.wisteriapost.protocol.site.Kind;
import org.wisteriapost.protocol.site.ObjectStore;

import static org.hamcrest.MatcherAssert.assertThat;

/**
 * A caller is rejected by an old table, or sent to a runner that has left, long after the
 * entry has read what is new. It came to rest while what it had read was on its way to
 * the thread that decides, so that was not taken; the reading goes on later from behind
 * it and never brings it again. And what a neighbour says may be older than what the
 * entry has read itself.
 */
class LateReadingTests {

	private static final String KNOWN = "/known/";

	private static final Optional<String> TOKEN = Optional.of(StateBench.TOKEN);

	private static final String OLD_ADDRESS = "10.0.0.1:80";

	private static final String NEW_ADDRESS = "10.0.0.2:80";

	private final StateBench bench = new StateBench();

	@AfterEach
	void stop() {
		this.bench.close();
	}

	static Stream<Arguments> kindsAndWays() {
		return Stream.of(Kind.values())
			.flatMap((kind) -> Stream.of(false, true).map((listed) -> Arguments.of(kind, listed)));
	}

	@ParameterizedTest
	@MethodSource("kindsAndWays")
	void whatWasReadAndNotTakenIsReadAgain(Kind kind, boolean listed) {
		List<ObjectStore.Item> routes = List.of(this.bench.routes(5, StateBench.table(1, KNOWN)));
		List<ObjectStore.Item> runners = List.of(this.bench.runner(5, OLD_ADDRESS));
		this.bench.follow(routes, runners);
		this.bench.readerReads(routes, runners);
		this.bench.untilAsked();
		reads(kind, listed);
		this.bench.hear();
		this.bench.pump();
		this.bench.store().asked();
		this.bench.link(false);
		this.bench.run(Duration.ofMillis(200));
		assertThat(this.bench.store().asked(), Matchers.containsInAnyOrder(again(EnumSet.of(kind))));
	}

	// Nothing came too late: only what has changed meanwhile is asked for.
	@Test
	void whatWasTakenIsNotReadAgain() {
		List<ObjectStore.Item> routes = List.of(this.bench.routes(5, StateBench.table(1, KNOWN)));
		List<ObjectStore.Item> runners = List.of(this.bench.runner(5, OLD_ADDRESS));
		this.bench.follow(routes, runners);
		this.bench.readerReads(routes, runners);
		this.bench.untilAsked();
		this.bench.hear();
		this.bench.store().asked();
		this.bench.link(false);
		this.bench.run(Duration.ofMillis(200));
		assertThat(this.bench.store().asked(), Matchers.containsInAnyOrder(again(Set.of())));
	}

	private void reads(Kind kind, boolean listed) {
		if (listed) {
			this.bench.store().watch(kind).completeExceptionally(CodedException.of(ObjectStore.HISTORY_GONE, "test"));
			return;
		}
		ObjectStore.Item item = this.bench.runner(9, NEW_ADDRESS);
		this.bench.store()
			.watch(kind)
			.complete(new ObjectStore.Changes(List.of(new ObjectStore.Change(item, false)), 9));
	}

	private static String[] again(Set<Kind> whole) {
		List<String> asked = new ArrayList<>();
		for (Kind kind : Kind.values()) {
			asked.add((whole.contains(kind) ? "list " : "since ") + kind);
			if (whole.contains(kind)) {
				asked.add("watch " + kind);
			}
		}
		return asked.toArray(String[]::new);
	}

	// The store does not answer this entry, which asks its neighbour. That has missed
	// what changed last.
	@ParameterizedTest
	@CsvSource({ "MOVED,sent to " + NEW_ADDRESS, "GONE,waits", "ROUTE_DROPPED,refused table-doubtful" })
	void whatANeighbourSaysThatIsOlderIsLeftOut(Changed changed, String answer) {
		List<ObjectStore.Item> routes = List.of(this.bench.routes(5, StateBench.table(1, KNOWN)));
		List<ObjectStore.Item> runners = List.of(this.bench.runner(5, OLD_ADDRESS));
		this.bench.bothRead(routes, runners);
		ObjectStore.Change change = switch (changed) {
			case MOVED -> new ObjectStore.Change(this.bench.runner(9, NEW_ADDRESS), false);
			case GONE -> new ObjectStore.Change(this.bench.runner(9, OLD_ADDRESS), true);
			case ROUTE_DROPPED -> new ObjectStore.Change(this.bench.routes(9, StateBench.table(2, "/other/")), false);
		};
		Kind kind = (changed == Changed.ROUTE_DROPPED) ? Kind.ROUTES : Kind.RUNNERS;
		this.bench.apply(new DirectEvent.ObjectChanged(kind, change));
		this.bench.apply(new DirectEvent.StoreReachable(Kind.RUNNERS, false));
		this.bench.link(true);
		this.bench.run(Duration.ofSeconds(1));
		assertThat(this.bench.request(KNOWN, TOKEN), Matchers.equalTo(answer));
	}

	/** What the neighbour has missed. */
	enum Changed {

		MOVED, GONE, ROUTE_DROPPED

	}

}
