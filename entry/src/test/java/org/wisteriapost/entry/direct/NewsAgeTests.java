package org.wisteriapost.entry.direct;

import java.io.OutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
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
import org.wisteriapost.protocol.site.Kind;
import org.wisteriapost.protocol.site.ObjectStore;
import org.wisteriapost.protocol.wire.Frame;
import org.wisteriapost.protocol.wire.News;
import org.wisteriapost.protocol.wire.NewsRequest;

import static org.hamcrest.MatcherAssert.assertThat;

/**
 * An entry hears from another how old its routes are. Each has a clock of its own.
 */
class NewsAgeTests {

	private static final long MILLI = 1_000_000;

	private static final long TICK = 100 * MILLI;

	// Clocks of two processes have nothing in common.
	private static final long READER_AHEAD = -7_777_777_777_777L;

	private final DecisionLog log = DecisionLog.start("test", new PrintStream(OutputStream.nullOutputStream()));

	private final List<Frame> answers = new ArrayList<>();

	private final List<Frame> requests = new ArrayList<>();

	private final SiteNews reader = new SiteNews(new NamedObjects(), StoreRole.of("reader"),
			UpstreamSelector.of("reader"), (peer, frame) -> this.answers.add(frame), () -> this.now + READER_AHEAD,
			this.log);

	private final SiteNews hearer = new SiteNews(new NamedObjects(), StoreRole.of("hearer"),
			UpstreamSelector.of("hearer"), (peer, frame) -> this.requests.add(frame), () -> this.now, this.log);

	private long now = 1000 * MILLI;

	@BeforeEach
	void begin() {
		this.reader.reachable(true);
		for (Kind kind : Kind.values()) {
			this.reader.read(kind, List.of(NamedObjects.item("x", 5)), 5);
		}
		this.hearer.reachable(false);
		this.hearer.tick(List.of(LinkedEntry.unknown("reader")), this.now);
	}

	@AfterEach
	void stop() {
		this.log.close();
	}

	private void readerKnowsAsOf(long nanos) {
		this.reader.confirmed(nanos + READER_AHEAD);
	}

	private void run(int ticks) {
		for (int i = 0; i < ticks; i++) {
			this.now += TICK;
			this.reader.tick(List.of(LinkedEntry.unknown("hearer")), this.now + READER_AHEAD);
			this.hearer.tick(List.of(LinkedEntry.unknown("reader")), this.now);
		}
	}

	private void ask() {
		List<Frame> sent = List.copyOf(this.requests);
		this.requests.clear();
		sent.forEach((frame) -> this.reader.asked("hearer", frame.getNewsRequest()));
	}

	private void hear() {
		List<Frame> sent = List.copyOf(this.answers);
		this.answers.clear();
		sent.forEach((frame) -> this.hearer.heard("reader", frame.getNews()));
	}

	private void asked() {
		ask();
		hear();
	}

	@Test
	void theMomentIsThatOfTheRequestLessTheAgeAtTheReader() {
		readerKnowsAsOf(this.now - 250 * MILLI);
		asked();
		assertThat(this.hearer.asOfNanos(), Matchers.equalTo(OptionalLong.of(this.now - 250 * MILLI)));
	}

	// An age is said in whole milliseconds. Rounded down, the routes would seem younger
	// than they are.
	@Test
	void aPartOfAMillisecondCountsAsAWholeOne() {
		readerKnowsAsOf(this.now - 1);
		asked();
		assertThat(this.hearer.asOfNanos(), Matchers.equalTo(OptionalLong.of(this.now - MILLI)));
	}

	// The request and the answer are long on their way; the reader's routes are confirmed
	// meanwhile, but nobody knows when that was on the hearer's clock.
	@Test
	void aSlowWayMakesItOlderAndNeverYounger() {
		long stamped = this.now;
		this.now += 5 * TICK;
		readerKnowsAsOf(this.now);
		ask();
		this.now += 5 * TICK;
		hear();
		assertThat(this.hearer.asOfNanos(), Matchers.equalTo(OptionalLong.of(stamped)));
	}

	@Test
	void signsKeepItYoung() {
		readerKnowsAsOf(this.now);
		asked();
		run(4);
		readerKnowsAsOf(this.now);
		asked();
		assertThat(this.hearer.asOfNanos(), Matchers.equalTo(OptionalLong.of(this.now)));
		assertThat(this.answers, Matchers.empty());
	}

	@Test
	void itNeverGoesBack() {
		readerKnowsAsOf(this.now);
		asked();
		OptionalLong before = this.hearer.asOfNanos();
		this.hearer.confirmed(this.now - TICK);
		assertThat(this.hearer.asOfNanos(), Matchers.equalTo(before));
		this.hearer.confirmed(this.now + TICK);
		assertThat(this.hearer.asOfNanos(), Matchers.equalTo(OptionalLong.of(this.now + TICK)));
	}

	@Test
	void aReaderThatNeverHadTheRoutesConfirmedSaysNoAge() {
		asked();
		assertThat(this.hearer.asOfNanos(), Matchers.equalTo(OptionalLong.empty()));
	}

	// The change of a token is left out, and the sign after it says that the reader's
	// routes are of this moment. Those of the hearer are not: it would reject the new
	// token for good, sure of its table.
	@Test
	void aSignAfterAGapSaysNothingOfTheHearersRoutes() {
		readerKnowsAsOf(this.now);
		asked();
		OptionalLong before = this.hearer.asOfNanos();
		this.reader.read(Kind.ROUTES, new ObjectStore.Change(NamedObjects.item("x", 9), false));
		this.answers.clear();
		run(4);
		readerKnowsAsOf(this.now);
		asked();
		assertThat(this.hearer.asOfNanos(), Matchers.equalTo(before));
		asked();
		assertThat(this.hearer.asOfNanos(), Matchers.equalTo(OptionalLong.of(this.now)));
	}

	@Test
	void partsOfAnAnswerWithoutTheRoutesSayNothing() {
		readerKnowsAsOf(this.now);
		ask();
		this.answers.removeIf((frame) -> frame.getNews().getKind() == SiteNews.wire(Kind.ROUTES));
		hear();
		assertThat(this.hearer.asOfNanos(), Matchers.equalTo(OptionalLong.empty()));
	}

	// The answer names routes that the hearer lost since it asked.
	@Test
	void anAnswerThatNamesRoutesTheHearerLacksSaysNothing() {
		this.hearer.reachable(true);
		this.hearer.read(Kind.ROUTES, List.of(NamedObjects.item("x", 5)), 5);
		this.requests.clear();
		this.hearer.reachable(false);
		this.hearer.tick(List.of(LinkedEntry.unknown("reader")), this.now);
		readerKnowsAsOf(this.now);
		ask();
		this.hearer.read(Kind.ROUTES, List.of(), 4);
		hear();
		assertThat(this.hearer.asOfNanos(), Matchers.equalTo(OptionalLong.empty()));
	}

	// A stamp of a former process of this name, whose clock began elsewhere.
	@Test
	void aStampThatWasNotSentIsNotTaken() {
		asked();
		News foreign = News.newBuilder().setCurrent(true).setStamp(this.now + 1).setAgeMillis(0).build();
		this.hearer.heard("reader", foreign);
		assertThat(this.hearer.asOfNanos(), Matchers.equalTo(OptionalLong.empty()));
	}

	// The reader has forgotten who hears it, by a word that was lost. What it tells
	// others would not come here any more.
	@Test
	void whoIsNoLongerKnownToTheReaderAsksAgain() {
		readerKnowsAsOf(this.now);
		asked();
		this.reader.dismiss();
		this.answers.clear();
		run(4);
		asked();
		asked();
		assertThat(this.hearer.whole("reader"), Matchers.equalTo(true));
		assertThat(this.reader.reliedOn(), Matchers.equalTo(true));
	}

	// A late word that nothing more is wanted, of a hearing before this one, takes the
	// hearer off the reader's list. No frame is lost, and the signs would go on.
	@Test
	void whoWasTakenOffByALateWordAsksAgain() {
		asked();
		this.reader.asked("hearer", SiteNews.enough().getNewsRequest());
		run(4);
		asked();
		asked();
		assertThat(this.reader.reliedOn(), Matchers.equalTo(true));
		assertThat(this.hearer.whole("reader"), Matchers.equalTo(true));
	}

	@Test
	void aKeepAliveIsAnsweredByOneSign() {
		asked();
		this.reader.asked("hearer",
				NewsRequest.newBuilder().setWanted(true).setKeepAlive(true).setStamp(this.now).build());
		assertThat(this.answers, Matchers.hasSize(1));
		assertThat(this.answers.getFirst().getNews().getObjectsList(), Matchers.empty());
		assertThat(this.answers.getFirst().getNews().getCurrent(), Matchers.equalTo(true));
	}

	@Test
	void aReaderWhomTheStoreDoesNotAnswerSaysSo() {
		asked();
		this.reader.reachable(false);
		this.answers.clear();
		this.reader.asked("hearer", NewsRequest.newBuilder().setWanted(true).setKeepAlive(true).build());
		assertThat(this.answers.getFirst().getNews().getCurrent(), Matchers.equalTo(false));
	}

	// A process of an older version answers whatever is asked by everything it has.
	@Test
	void anEntryThatDoesNotCountIsSentNoKeepAlive() {
		ask();
		this.answers
			.forEach((frame) -> this.hearer.heard("reader", frame.getNews().toBuilder().clearSequence().build()));
		run(10);
		assertThat(this.requests, Matchers.empty());
	}

}
