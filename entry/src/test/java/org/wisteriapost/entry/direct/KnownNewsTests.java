package org.wisteriapost.entry.direct;

import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wisteriapost.kernel.log.DecisionLog;
import org.wisteriapost.policy.fleet.LinkedEntry;
import org.wisteriapost.policy.fleet.RendezvousHashing;
import org.wisteriapost.policy.fleet.StoreRole;
import org.wisteriapost.policy.fleet.UpstreamSelector;
import org.wisteriapost.protocol.site.Kind;
import org.wisteriapost.protocol.site.ObjectStore;
import org.wisteriapost.protocol.wire.Frame;
import org.wisteriapost.protocol.wire.News;
import org.wisteriapost.protocol.wire.NewsRequest;

import static org.hamcrest.MatcherAssert.assertThat;

/**
 * Two entries, of which one asks the other for news and says what it has already.
 */
class KnownNewsTests {

	private static final long TICK = 100_000_000;

	private static final int LARGE = 300_000;

	// What an answer may take that holds no content: names, revisions and numbers.
	private static final int SMALL = 1000;

	private final DecisionLog log = DecisionLog.start("test", new PrintStream(OutputStream.nullOutputStream()));

	private final String readerName = RendezvousHashing.rank(List.of("a", "b"), "store").getFirst();

	private final String askerName = this.readerName.equals("a") ? "b" : "a";

	private final List<Frame> answers = new ArrayList<>();

	private final List<Frame> requests = new ArrayList<>();

	private final StoreRole duty = StoreRole.of(this.askerName);

	private final SiteNews reader = new SiteNews(new NamedObjects(), StoreRole.of(this.readerName),
			UpstreamSelector.of(this.readerName), (peer, frame) -> this.answers.add(frame), () -> this.now, this.log);

	private final SiteNews asker = new SiteNews(new NamedObjects(), this.duty, UpstreamSelector.of(this.askerName),
			(peer, frame) -> this.requests.add(frame), () -> this.now, this.log);

	private final StoreReading reading = new StoreReading(this.duty, this.asker, new Following(),
			(peer, frame) -> this.requests.add(frame), this.log);

	private long now;

	@BeforeEach
	void readerReads() {
		for (Kind kind : Kind.values()) {
			this.reader.read(kind, (kind == Kind.ROUTES) ? List.of(large("table", 5), NamedObjects.item("r", 6))
					: List.of(NamedObjects.item("x", 5)), 7);
		}
		this.reader.reachable(true);
	}

	@AfterEach
	void stop() {
		this.log.close();
	}

	private static ObjectStore.Item large(String name, long revision) {
		return new ObjectStore.Item(name, revision, Optional.empty(),
				() -> (name + "@" + revision + "@" + "x".repeat(LARGE)).getBytes(StandardCharsets.UTF_8));
	}

	private void tick() {
		this.now += TICK;
		this.asker.tick(List.of(LinkedEntry.unknown(this.readerName)), this.now);
		this.reading.tick(List.of(this.readerName), true, this.now);
	}

	private void cut() {
		this.asker.reachable(false);
		tick();
	}

	private void ask() {
		List<Frame> sent = List.copyOf(this.requests);
		this.requests.clear();
		sent.forEach((frame) -> this.reader.asked(this.askerName, frame.getNewsRequest()));
	}

	private int answerBytes() {
		return this.answers.stream().mapToInt(Frame::getSerializedSize).sum();
	}

	private List<DirectEvent> hear() {
		List<Frame> sent = List.copyOf(this.answers);
		this.answers.clear();
		return sent.stream()
			.flatMap((frame) -> this.reading.heard(this.readerName, frame.getNews(), this.now).stream())
			.toList();
	}

	private static List<String> names(List<DirectEvent> events, Kind kind) {
		return events.stream()
			.map(DirectEvent.AllObjects.class::cast)
			.filter((all) -> all.kind() == kind)
			.flatMap((all) -> all.items().stream())
			.map(ObjectStore.Item::name)
			.sorted()
			.toList();
	}

	// The links between regions were full of copies of a table that all had.
	@Test
	void whatTheAskerHasIsNotSentAgain() {
		cut();
		ask();
		assertThat(answerBytes(), Matchers.greaterThan(LARGE));
		assertThat(names(hear(), Kind.ROUTES), Matchers.contains("r", "table"));
		this.asker.reachable(true);
		cut();
		ask();
		assertThat(answerBytes(), Matchers.lessThan(SMALL));
		assertThat(names(hear(), Kind.ROUTES), Matchers.contains("r", "table"));
		assertThat(this.asker.whole(this.readerName), Matchers.equalTo(true));
	}

	@Test
	void whatHasChangedIsSentAndWhatIsNotNamedIsGone() {
		this.asker.read(Kind.ROUTES, List.of(large("table", 5), NamedObjects.item("r", 3), NamedObjects.item("old", 2)),
				5);
		cut();
		ask();
		assertThat(answerBytes(), Matchers.lessThan(SMALL));
		List<DirectEvent> heard = hear();
		assertThat(names(heard, Kind.ROUTES), Matchers.contains("r", "table"));
		assertThat(heard.stream()
			.map(DirectEvent.AllObjects.class::cast)
			.flatMap((all) -> all.items().stream())
			.filter((item) -> item.name().equals("r"))
			.map(ObjectStore.Item::revision)
			.toList(), Matchers.contains(6L));
	}

	// The asker loses an object between its request and the answer: its own listing,
	// begun earlier, comes without it. The answer names the object without its content.
	// Taken for whole, routes and runners would be missing until they change.
	@Test
	void anAnswerThatNamesWhatTheAskerLacksIsNotTaken() {
		this.asker.read(Kind.ROUTES, List.of(large("table", 5)), 5);
		cut();
		ask();
		this.asker.read(Kind.ROUTES, List.of(NamedObjects.item("s", 6)), 6);
		assertThat(names(hear(), Kind.ROUTES), Matchers.empty());
		assertThat(this.asker.whole(this.readerName), Matchers.equalTo(false));
		for (int i = 0; i < 5; i++) {
			tick();
		}
		assertThat(this.requests.getFirst().getNewsRequest().getKnownList(), Matchers.empty());
		ask();
		assertThat(names(hear(), Kind.ROUTES), Matchers.contains("r", "table"));
		assertThat(this.asker.whole(this.readerName), Matchers.equalTo(true));
	}

	@Test
	void anEntryDoesNotRestOnAnAnswerThatNamesWhatItLacks() {
		for (Kind kind : Kind.values()) {
			this.asker.read(kind, (kind == Kind.ROUTES) ? List.of(large("table", 5)) : List.of(), 5);
		}
		this.asker.reachable(true);
		while (this.requests.isEmpty()) {
			tick();
		}
		ask();
		this.asker.read(Kind.ROUTES, List.of(), 5);
		hear();
		assertThat(this.reading.rests(), Matchers.equalTo(false));
		for (int i = 0; i < 4; i++) {
			tick();
		}
		ask();
		hear();
		assertThat(this.reading.rests(), Matchers.equalTo(true));
	}

	// The asker reads that an object is gone while the answer, which is older, is on its
	// way: it is not missing.
	@Test
	void whatWasRemovedMeanwhileIsNotMissing() {
		this.asker.read(Kind.ROUTES, List.of(large("table", 5), NamedObjects.item("r", 6)), 6);
		cut();
		ask();
		this.asker.read(Kind.ROUTES, new ObjectStore.Change(NamedObjects.item("r", 8), true));
		assertThat(names(hear(), Kind.ROUTES), Matchers.contains("table"));
		assertThat(this.asker.whole(this.readerName), Matchers.equalTo(true));
	}

	// A runner that the asker has missed was made before a change that it has heard. The
	// store answers the asker again, and a third hears it from there. If the asker said
	// that it had read up to that change, the third would take the runner for gone.
	@Test
	void whatWasMissedIsNotSaidToBeRead() {
		cut();
		ask();
		hear();
		this.reader.read(Kind.RUNNERS, new ObjectStore.Change(NamedObjects.item("s", 8), false));
		this.answers.clear();
		this.reader.read(Kind.RUNNERS, new ObjectStore.Change(NamedObjects.item("t", 9), false));
		this.answers.forEach((frame) -> this.asker.heard(this.readerName, frame.getNews()));
		this.asker.reachable(true);
		this.requests.clear();
		this.asker.asked("third", NewsRequest.newBuilder().setWanted(true).build());
		assertThat(this.requests.stream()
			.map(Frame::getNews)
			.filter((news) -> news.getKind() == SiteNews.wire(Kind.RUNNERS))
			.map(News::getAt)
			.toList(), Matchers.contains(7L));
	}

	// The reader's watch was lost and it lists again. All that is new is one object.
	@Test
	void whenTheReaderListsAgainOnlyWhatIsNewIsSent() {
		cut();
		ask();
		hear();
		this.reader.read(Kind.ROUTES, List.of(large("table", 5), NamedObjects.item("s", 8)), 9);
		assertThat(answerBytes(), Matchers.lessThan(SMALL));
		assertThat(names(hear(), Kind.ROUTES), Matchers.contains("s", "table"));
		assertThat(this.asker.whole(this.readerName), Matchers.equalTo(true));
	}

	// The asker misses a change, and the listing after it takes the change for told. It
	// asks for what it misses and not for everything.
	@Test
	void whatWasMissedBeforeAListingIsAskedFor() {
		cut();
		ask();
		hear();
		this.reader.read(Kind.ROUTES, new ObjectStore.Change(NamedObjects.item("s", 8), false));
		this.answers.clear();
		this.reader.read(Kind.ROUTES, List.of(large("table", 5), NamedObjects.item("s", 8)), 9);
		hear();
		assertThat(this.asker.whole(this.readerName), Matchers.equalTo(false));
		for (int i = 0; i < 4; i++) {
			tick();
		}
		ask();
		assertThat(answerBytes(), Matchers.lessThan(SMALL));
		assertThat(names(hear(), Kind.ROUTES), Matchers.contains("s", "table"));
		assertThat(this.asker.whole(this.readerName), Matchers.equalTo(true));
	}

	// It could not make anything of an object without content.
	@Test
	void anEntryOfAnOlderVersionIsSentTheWholeListing() {
		this.reader.asked("older", NewsRequest.newBuilder().setWanted(true).build());
		this.answers.clear();
		this.reader.read(Kind.ROUTES, List.of(large("table", 5), NamedObjects.item("s", 8)), 9);
		assertThat(answerBytes(), Matchers.greaterThan(LARGE));
	}

	// An entry of an older version says nothing of what it has.
	@Test
	void whoSaysNothingOfWhatItHasIsSentEverything() {
		this.reader.asked("older", NewsRequest.newBuilder().setWanted(true).build());
		assertThat(answerBytes(), Matchers.greaterThan(LARGE));
	}

}
