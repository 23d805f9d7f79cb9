package org.wisteriapost.entry.direct;

import java.io.OutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
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
import org.wisteriapost.protocol.site.Kind;
import org.wisteriapost.protocol.site.ObjectStore;
import org.wisteriapost.protocol.wire.Frame;
import org.wisteriapost.protocol.wire.News;
import org.wisteriapost.protocol.wire.NewsRequest;
import org.wisteriapost.protocol.wire.StoreKind;

import static org.hamcrest.MatcherAssert.assertThat;

/**
 * Two entries, of which the store answers one.
 */
class SiteNewsTests {

	private static final long SECOND = 1_000_000_000;

	private final DecisionLog log = DecisionLog.start("test", new PrintStream(OutputStream.nullOutputStream()));

	private final List<Frame> toCut = new ArrayList<>();

	private final List<Frame> toSource = new ArrayList<>();

	// Every request of the cut entry and to whom, but for those that keep an answer
	// alive.
	private final List<String> requests = new ArrayList<>();

	private final SiteNews source = new SiteNews(new NamedObjects(), StoreRole.of("source"),
			UpstreamSelector.of("source"), (peer, frame) -> this.toCut.add(frame), () -> SECOND, this.log);

	private final SiteNews cut = new SiteNews(new NamedObjects(), StoreRole.of("cut"), UpstreamSelector.of("cut"),
			this::fromCut, () -> SECOND, this.log);

	@BeforeEach
	void cutOff() {
		this.source.reachable(true);
		this.source.read(Kind.RUNNERS, List.of(NamedObjects.item("a", 5), NamedObjects.item("b", 6)), 6);
		this.cut.reachable(true);
		this.cut.read(Kind.RUNNERS, List.of(NamedObjects.item("a", 5), NamedObjects.item("old", 4)), 5);
		this.cut.reachable(false);
		this.cut.tick(linked("source"), SECOND);
		this.toSource.forEach((frame) -> this.source.asked("cut", frame.getNewsRequest()));
	}

	@AfterEach
	void stop() {
		this.log.close();
	}

	private static List<LinkedEntry> linked(String... names) {
		return Stream.of(names).map(LinkedEntry::unknown).toList();
	}

	private void fromCut(String peer, Frame frame) {
		this.toSource.add(frame);
		if (!frame.getNewsRequest().getKeepAlive()) {
			this.requests.add((frame.getNewsRequest().getWanted() ? "+" : "-") + peer);
		}
	}

	private List<String> delivered() {
		List<String> heard = new ArrayList<>();
		for (Frame frame : this.toCut) {
			for (DirectEvent event : this.cut.heard("source", frame.getNews())) {
				heard.add(text(event));
			}
		}
		this.toCut.clear();
		return heard.stream().filter((one) -> !one.endsWith("[]")).toList();
	}

	private static String text(DirectEvent event) {
		return switch (event) {
			case DirectEvent.AllObjects all -> "all" + all.items().stream().map(ObjectStore.Item::name).toList();
			case DirectEvent.ObjectChanged changed ->
				(changed.change().deleted() ? "-" : "+") + changed.change().item().name();
			default -> throw new IllegalArgumentException(event.toString());
		};
	}

	@Test
	void aCutEntryHearsAllThereIsAndThenEveryChange() {
		assertThat(delivered(), Matchers.contains("all[a, b]"));
		this.source.read(Kind.RUNNERS, new ObjectStore.Change(NamedObjects.item("c", 9), false));
		this.source.read(Kind.RUNNERS, new ObjectStore.Change(NamedObjects.item("a", 5), true));
		assertThat(delivered(), Matchers.contains("+c", "-a"));
	}

	// A listing that this entry had begun itself lands after another one has told of a
	// runner that is newer. It does not hold that runner, and the other would not tell of
	// it again: callers would be refused for want of it until it changes.
	@Test
	void whatIsMissingInAListingThatLandsLateIsAskedForAgain() {
		delivered();
		this.source.read(Kind.RUNNERS, new ObjectStore.Change(NamedObjects.item("c", 9), false));
		assertThat(delivered(), Matchers.contains("+c"));
		this.toSource.clear();
		this.cut.read(Kind.RUNNERS, List.of(NamedObjects.item("a", 5), NamedObjects.item("b", 6)), 6);
		this.cut.tick(linked("source"), SECOND);
		this.toSource.forEach((frame) -> this.source.asked("cut", frame.getNewsRequest()));
		assertThat(delivered(), Matchers.hasItem("all[a, b, c]"));
	}

	// What a listing holds as well, or was removed by then, is not missing.
	@Test
	void aListingThatIsNewerThanAllThatWasToldIsNotFollowedByARequest() {
		delivered();
		this.source.read(Kind.RUNNERS, new ObjectStore.Change(NamedObjects.item("c", 9), false));
		this.source.read(Kind.RUNNERS, new ObjectStore.Change(NamedObjects.item("d", 10), false));
		delivered();
		this.requests.clear();
		this.cut.read(Kind.RUNNERS, List.of(NamedObjects.item("a", 5), NamedObjects.item("c", 9)), 12);
		this.cut.tick(linked("source"), SECOND);
		assertThat(this.requests, Matchers.empty());
	}

	// The entry that is asked is behind: it tells again of a runner that has gone.
	// Were it believed, callers would be sent to a machine that has left.
	@Test
	void whatWasRemovedDoesNotComeBackInAnOlderForm() {
		delivered();
		this.source.read(Kind.RUNNERS, new ObjectStore.Change(NamedObjects.item("a", 7), true));
		delivered();
		this.source.read(Kind.RUNNERS, new ObjectStore.Change(NamedObjects.item("a", 6), false));
		assertThat(delivered(), Matchers.empty());
		this.source.read(Kind.RUNNERS, new ObjectStore.Change(NamedObjects.item("a", 11), false));
		assertThat(delivered(), Matchers.contains("+a"));
	}

	// A removal that was sent on another link comes after what the store has made anew.
	// Were it believed, a runner that takes requests would be missing.
	@Test
	void anOlderRemovalIsNotTaken() {
		delivered();
		this.source.read(Kind.RUNNERS, new ObjectStore.Change(NamedObjects.item("b", 9), false));
		assertThat(delivered(), Matchers.contains("+b"));
		this.source.read(Kind.WEIGHTS, new ObjectStore.Change(NamedObjects.item("b", 7), true));
		Frame removal = this.toCut.getLast();
		this.toCut.clear();
		this.toCut
			.add(removal.toBuilder().setNews(removal.getNews().toBuilder().setKind(StoreKind.STORE_RUNNERS)).build());
		assertThat(delivered(), Matchers.empty());
	}

	// The store answers the cut entry again while a message is still on its way.
	@Test
	void onceTheStoreAnswersNothingPassedOnIsTaken() {
		this.cut.reachable(true);
		assertThat(delivered(), Matchers.empty());
		assertThat(this.toSource.getLast().getNewsRequest().getWanted(), Matchers.equalTo(false));
	}

	// Nothing changes for a minute, and the entry that passes on gives signs. Then it
	// starts anew while the link is open, and knows nothing of the cut entry.
	@Test
	void whoGivesSignsIsKeptAndWhoFallsSilentIsNot() {
		delivered();
		this.requests.clear();
		for (int tick = 1; tick <= 600; tick++) {
			this.source.tick(linked("cut", "third"), SECOND + tick * SECOND / 10);
			delivered();
			this.cut.tick(linked("source", "third"), SECOND + tick * SECOND / 10);
		}
		assertThat(this.requests, Matchers.empty());
		this.cut.tick(linked("source", "third"), 66 * SECOND);
		assertThat(this.requests, Matchers.contains("-source", "+third"));
	}

	// The store stops answering the other entry too. It says so, and the next is asked.
	@Test
	void theNextEntryIsAskedWhenTheFirstIsCutOffAsWell() {
		delivered();
		this.requests.clear();
		this.source.reachable(false);
		delivered();
		this.cut.tick(linked("source", "third"), 2 * SECOND);
		assertThat(this.requests, Matchers.contains("-source", "+third"));
		assertThat(this.cut.heard("source", News.newBuilder().setCurrent(true).build()), Matchers.empty());
	}

	// Most entries rest, and each says at once that it does not read the store. The one
	// that does is found without waiting for a tick at each of them.
	@Test
	void whoIsNotCurrentIsPassedOverAtOnce() {
		this.cut.reachable(true);
		this.cut.reachable(false);
		this.requests.clear();
		this.cut.tick(linked("x", "y", "z"), 2 * SECOND);
		for (int i = 0; i < 3; i++) {
			this.cut.heard(this.requests.getLast().substring(1), News.newBuilder().setCurrent(false).build());
		}
		assertThat(this.requests.stream().filter((request) -> request.startsWith("+")).toList(),
				Matchers.containsInAnyOrder("+x", "+y", "+z"));
	}

	// The first entry asked does not answer in time, and the next one is asked. The first
	// one would go on sending every change, over a link that is full as it is.
	@Test
	void whoIsNoLongerAskedIsToldSo() {
		this.cut.tick(linked("source", "third"), 2 * SECOND);
		assertThat(this.requests, Matchers.contains("+source", "-source", "+third"));
	}

	// The link to the entry that passes on ends and another is asked. When the link is
	// back the former still sends: it was told nothing, since there was no link.
	@Test
	void whoPassesOnUnaskedIsToldSo() {
		delivered();
		this.cut.tick(linked("third"), 2 * SECOND);
		this.requests.clear();
		this.source.read(Kind.RUNNERS, new ObjectStore.Change(NamedObjects.item("c", 9), false));
		assertThat(delivered(), Matchers.empty());
		this.cut.tick(linked("source", "third"), 2 * SECOND + SECOND / 10);
		assertThat(this.requests, Matchers.contains("-source"));
	}

	// An entry has come to rest, and what its own last call to the store found is still
	// on its way. Taken for a loss it would make the entry ask others for everything, for
	// as long as it rests.
	@Test
	void whatItsOwnLastCallFoundIsNothingToWhoRests() {
		StoreRole duty = StoreRole.of("cut");
		SiteNews resting = new SiteNews(new NamedObjects(), duty, UpstreamSelector.of("cut"), this::fromCut,
				() -> SECOND, this.log);
		resting.reachable(true);
		List.of(0L, 2 * SECOND).forEach((nanos) -> duty.tick(List.of("source"), true, nanos));
		duty.statusReceived("source", true, true, 2 * SECOND);
		resting.stopReading();
		this.requests.clear();
		resting.reachable(false);
		resting.tick(linked("source", "third"), 3 * SECOND);
		assertThat(this.requests, Matchers.empty());
		resting.reachable(true);
		assertThat(resting.mayRest(), Matchers.equalTo(false));
	}

	// The store stops answering an entry just before the last part of its neighbour's
	// answer comes, and the entry rests. Were the loss kept, it would hear another entry
	// beside its reader, over regions too, and that one would never rest.
	@Test
	void whatItsOwnLastCallFoundBeforeItRestedIsNothingToWhoRests() {
		StoreRole duty = StoreRole.of("cut");
		SiteNews resting = new SiteNews(new NamedObjects(), duty, UpstreamSelector.of("cut"), this::fromCut,
				() -> SECOND, this.log);
		resting.reachable(true);
		List.of(0L, 2 * SECOND).forEach((nanos) -> duty.tick(List.of("source"), true, nanos));
		resting.reachable(false);
		duty.statusReceived("source", true, true, 2 * SECOND);
		resting.stopReading();
		this.requests.clear();
		resting.tick(linked("source", "third"), 3 * SECOND);
		assertThat(this.requests, Matchers.empty());
	}

	@Test
	void inCalmTimesNothingIsSent() {
		this.cut.reachable(true);
		this.source.asked("cut", NewsRequest.getDefaultInstance());
		this.toCut.clear();
		this.source.read(Kind.RUNNERS, new ObjectStore.Change(NamedObjects.item("d", 12), false));
		assertThat(this.toCut, Matchers.empty());
	}

}
