package org.wisteriapost.entry.direct;

import java.io.OutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wisteriapost.kernel.log.DecisionLog;
import org.wisteriapost.policy.fleet.StoreDuty;
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

	private final SiteNews source = new SiteNews(new NamedObjects(), StoreDuty.of("source"),
			(peer, frame) -> this.toCut.add(frame), () -> SECOND, this.log);

	private final SiteNews cut = new SiteNews(new NamedObjects(), StoreDuty.of("cut"),
			(peer, frame) -> this.toSource.add(frame), () -> SECOND, this.log);

	@BeforeEach
	void cutOff() {
		this.source.reachable(true);
		this.source.read(Kind.RUNNERS, List.of(NamedObjects.item("a", 5), NamedObjects.item("b", 6)), 6);
		this.cut.reachable(true);
		this.cut.read(Kind.RUNNERS, List.of(NamedObjects.item("a", 5), NamedObjects.item("old", 4)), 5);
		this.cut.reachable(false);
		this.cut.tick(List.of("source"), SECOND);
		this.toSource.forEach((frame) -> this.source.asked("cut", frame.getNewsRequest()));
	}

	@AfterEach
	void stop() {
		this.log.close();
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

	// The store stops answering the other entry too. It says so, and the next is asked.
	@Test
	void theNextEntryIsAskedWhenTheFirstIsCutOffAsWell() {
		delivered();
		this.source.reachable(false);
		delivered();
		this.toSource.clear();
		this.cut.tick(List.of("source", "third"), 2 * SECOND);
		assertThat(this.toSource, Matchers.hasSize(1));
		assertThat(this.cut.heard("source", News.newBuilder().setCurrent(true).build()), Matchers.empty());
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
