package org.wisteriapost.entry.direct;

import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
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
import org.wisteriapost.protocol.site.Kind;
import org.wisteriapost.protocol.site.ObjectStore;
import org.wisteriapost.protocol.wire.Frame;
import org.wisteriapost.protocol.wire.News;
import org.wisteriapost.protocol.wire.NewsRequest;

import static org.hamcrest.MatcherAssert.assertThat;

/**
 * Two entries, of which the store answers one, in virtual time. The link between them
 * keeps the order of frames and is slow: a small frame waits behind a large one.
 */
class FullLinkNewsTests {

	private static final long STEP = Duration.ofMillis(20).toNanos();

	private static final int STEPS_PER_TICK = 5;

	private static final int TABLE_BYTES = 300_000;

	// Larger than all answers without the table.
	private static final int LARGE_BYTES = TABLE_BYTES / 2;

	private final DecisionLog log = DecisionLog.start("test", new PrintStream(OutputStream.nullOutputStream()));

	private final Link toCut = new Link();

	private final Link toReader = new Link();

	private final SiteNews reader = new SiteNews(new NamedObjects(), StoreRole.of("reader"),
			UpstreamSelector.of("reader"), (peer, frame) -> this.toCut.send(frame), () -> this.now, this.log);

	private final SiteNews cut = new SiteNews(new NamedObjects(), StoreRole.of("cut"), UpstreamSelector.of("cut"),
			(peer, frame) -> this.toReader.send(frame), () -> this.now, this.log);

	private final List<Kind> delivered = new ArrayList<>();

	// When the cut entry asked for objects, in milliseconds.
	private final List<Long> asked = new ArrayList<>();

	private boolean older;

	private int tables;

	private long steps;

	private long now;

	@BeforeEach
	void begin() {
		for (Kind kind : Kind.values()) {
			this.reader.read(kind, List.of((kind == Kind.ROUTES) ? table(5) : NamedObjects.item("x", 5)), 5);
		}
		this.reader.reachable(true);
		this.cut.reachable(false);
	}

	@AfterEach
	void stop() {
		this.log.close();
	}

	private static ObjectStore.Item table(long revision) {
		return new ObjectStore.Item("table", revision, Optional.empty(),
				() -> ("table@" + revision + "@" + "x".repeat(TABLE_BYTES)).getBytes(StandardCharsets.UTF_8));
	}

	private static boolean holdsTable(Frame frame) {
		return frame.getSerializedSize() > LARGE_BYTES;
	}

	private void run(long millis) {
		for (long until = this.now + TimeUnit.MILLISECONDS.toNanos(millis); this.now < until;) {
			this.now += STEP;
			this.steps++;
			this.toReader.due().forEach((frame) -> this.reader.asked("cut", asHeard(frame)));
			this.toCut.due().forEach(this::hear);
			if (this.steps % STEPS_PER_TICK == 0) {
				this.reader.tick(List.of(LinkedEntry.unknown("cut")), this.now);
				this.cut.tick(List.of(LinkedEntry.unknown("reader")), this.now);
			}
		}
	}

	// One of an older version knows neither stamps nor frames that only keep alive.
	private NewsRequest asHeard(Frame frame) {
		NewsRequest request = frame.getNewsRequest();
		return this.older ? request.toBuilder().clearStamp().clearKeepAlive().build() : request;
	}

	private void hear(Frame frame) {
		Frame.Builder heard = frame.toBuilder();
		if (this.older) {
			heard.getNewsBuilder().clearSequence();
		}
		for (DirectEvent event : this.cut.heard("reader", heard.getNews())) {
			if (event instanceof DirectEvent.AllObjects all) {
				this.delivered.add(all.kind());
			}
		}
	}

	private boolean whole() {
		return this.cut.whole("reader");
	}

	// Callers are rejected by an old route table while links are full. The table takes
	// longer than the pauses between requests, or the link is busy with something else
	// before the answer begins; asked for again meanwhile, each copy is sent behind the
	// one before and the link stays full.
	@ParameterizedTest
	@CsvSource({ "1000, 0", "4000, 0", "7000, 0", "1000, 3000", "4000, 6000" })
	void aTableThatIsUnderWayIsNotAskedForAgain(long tableMillis, long busyMillis) {
		this.toCut.tableNanos = TimeUnit.MILLISECONDS.toNanos(tableMillis);
		this.toCut.freeNanos = TimeUnit.MILLISECONDS.toNanos(busyMillis);
		run(busyMillis + tableMillis + 2000);
		assertThat(whole(), Matchers.equalTo(true));
		run(5000);
		assertThat(this.tables, Matchers.equalTo(1));
		assertThat(whole(), Matchers.equalTo(true));
	}

	// Callers find no runner for as long as the table takes. It is sent first, and what
	// is small and known at once waits behind it.
	@Test
	void whatIsSmallDoesNotWaitBehindTheTable() {
		this.toCut.tableNanos = Duration.ofSeconds(4).toNanos();
		run(1000);
		assertThat(this.delivered, Matchers.contains(Kind.RUNNERS, Kind.ENTRIES, Kind.WEIGHTS));
		run(5000);
		assertThat(this.delivered, Matchers.contains(Kind.RUNNERS, Kind.ENTRIES, Kind.WEIGHTS, Kind.ROUTES));
	}

	// A full link leaves out the request, the table or the whole answer. Nothing is on
	// its way then, and who waits for it has an old table for good.
	@ParameterizedTest
	@CsvSource({ "REQUEST", "TABLE", "ANSWER" })
	void whatWasLeftOutIsAskedForAgain(Lost lost) {
		this.toCut.tableNanos = Duration.ofSeconds(1).toNanos();
		Link link = (lost == Lost.REQUEST) ? this.toReader : this.toCut;
		link.full = (lost == Lost.TABLE) ? FullLinkNewsTests::holdsTable : (frame) -> true;
		run(200);
		link.full = (frame) -> false;
		assertThat(whole(), Matchers.equalTo(false));
		run(4000);
		assertThat(whole(), Matchers.equalTo(true));
		assertThat(this.tables, Matchers.lessThanOrEqualTo(1));
	}

	// An entry that is to rest waits 600 ms for its neighbour's answer and reads itself
	// otherwise. Its first request was left out.
	@Test
	void aFirstRequestThatWasLeftOutIsSoonRepeated() {
		this.toReader.full = (frame) -> true;
		run(200);
		this.toReader.full = (frame) -> false;
		run(500);
		assertThat(whole(), Matchers.equalTo(true));
	}

	// The link ends with the table on it, and a new one takes its place.
	@Test
	void aTableThatWasLostWithItsLinkIsAskedForAgain() {
		this.toCut.tableNanos = Duration.ofSeconds(4).toNanos();
		run(1000);
		this.toCut.underway.clear();
		this.toCut.freeNanos = this.now;
		this.cut.linked("reader");
		run(6000);
		assertThat(whole(), Matchers.equalTo(true));
		assertThat(this.tables, Matchers.equalTo(2));
	}

	// The other entry loses the store and has it again before the table has come. It has
	// taken the cut entry off its list, which would not hear what changes from now on.
	@Test
	void whoWasNotCurrentMeanwhileIsAskedAnew() {
		this.toCut.tableNanos = Duration.ofSeconds(1).toNanos();
		run(500);
		this.reader.reachable(false);
		run(300);
		this.reader.reachable(true);
		run(6000);
		assertThat(whole(), Matchers.equalTo(true));
		assertThat(this.reader.reliedOn(), Matchers.equalTo(true));
	}

	// Nothing proves that its answer has passed, so it is asked by the clock; a sign that
	// it sends just before its answer proves nothing either.
	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	void anEntryThatEchoesNoStampIsAskedAfterEachPause(boolean signFirst) {
		this.older = true;
		this.toCut.full = FullLinkNewsTests::holdsTable;
		run(100);
		if (signFirst) {
			this.toCut.send(Frame.newBuilder().setNews(News.newBuilder().setCurrent(true)).build());
		}
		run(3900);
		assertThat(this.asked, Matchers.contains(100L, 500L, 1200L, 2500L, 3800L));
	}

	/** What a full link leaves out. */
	enum Lost {

		/** What the cut entry sends first. */
		REQUEST,
		/** The frame with the table. */
		TABLE,
		/** All frames of the answer. */
		ANSWER

	}

	private record Underway(Frame frame, long dueNanos) {
	}

	/** One direction: the table takes its time, small frames wait behind it. */
	private final class Link {

		private final Deque<Underway> underway = new ArrayDeque<>();

		private Predicate<Frame> full = (frame) -> false;

		private long tableNanos;

		private long freeNanos;

		private void send(Frame frame) {
			if (this == FullLinkNewsTests.this.toReader && !frame.getNewsRequest().getKeepAlive()) {
				FullLinkNewsTests.this.asked.add(TimeUnit.NANOSECONDS.toMillis(FullLinkNewsTests.this.now));
			}
			if (this.full.test(frame)) {
				return;
			}
			if (holdsTable(frame)) {
				FullLinkNewsTests.this.tables++;
			}
			this.freeNanos = Math.max(this.freeNanos, FullLinkNewsTests.this.now)
					+ (holdsTable(frame) ? this.tableNanos : 0);
			this.underway.add(new Underway(frame, this.freeNanos));
		}

		private List<Frame> due() {
			List<Frame> due = new ArrayList<>();
			while (!this.underway.isEmpty() && this.underway.getFirst().dueNanos <= FullLinkNewsTests.this.now) {
				due.add(this.underway.removeFirst().frame);
			}
			return due;
		}

	}

}
