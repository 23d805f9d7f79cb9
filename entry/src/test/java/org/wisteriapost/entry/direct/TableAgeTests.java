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
import org.wisteriapost.protocol.site.Kind;
import org.wisteriapost.protocol.wire.Frame;
import org.wisteriapost.protocol.wire.NewsRequest;

import static org.hamcrest.MatcherAssert.assertThat;

/**
 * A caller is told for good that there is no such route, token or size. Whatever it is
 * told so by must be known to be the newest within nine tenths of the site's bound, else
 * a route that was declared meanwhile is rejected.
 */
class TableAgeTests {

	private static final String KNOWN = "/known/";

	private static final Optional<String> TOKEN = Optional.of(StateBench.TOKEN);

	private static final Duration TEN_SECONDS = Duration.ofSeconds(10);

	private final StateBench bench = new StateBench();

	@BeforeEach
	void read() {
		this.bench.bothRead(List.of(this.bench.routes(5, StateBench.table(1, KNOWN))),
				List.of(this.bench.runner(5, "10.0.0.1:80")));
	}

	@AfterEach
	void stop() {
		this.bench.close();
	}

	private void confirmed(Kind kind, long asOfNanos) {
		this.bench.apply(new DirectEvent.StoreConfirmed(kind, asOfNanos));
	}

	private static long millis(long count) {
		return count * StateBench.MILLI;
	}

	@ParameterizedTest
	@EnumSource
	void whatWasNeverConfirmedRejectsNothing(Wrong wrong) {
		assertThat(wrong.answer(this.bench), Matchers.equalTo(Wrong.DOUBTFUL));
	}

	@ParameterizedTest
	@CsvSource({ "ROUTE,0,true", "ROUTE,2700,true", "ROUTE,2701,false", "TOKEN,0,true", "TOKEN,2700,true",
			"TOKEN,2701,false", "NO_TOKEN,0,true", "NO_TOKEN,2700,true", "NO_TOKEN,2701,false", "SIZE,0,true",
			"SIZE,2700,true", "SIZE,2701,false" })
	void onlyWhatIsYoungEnoughRejects(Wrong wrong, long ageMillis, boolean rejects) {
		confirmed(Kind.ROUTES, this.bench.now() - millis(ageMillis));
		assertThat(wrong.answer(this.bench), Matchers.equalTo(rejects ? wrong.rejected : Wrong.DOUBTFUL));
	}

	@ParameterizedTest
	@EnumSource
	void whatIsKnownOfOtherKindsRejectsNothing(Wrong wrong) {
		for (Kind kind : Kind.values()) {
			if (kind != Kind.ROUTES) {
				confirmed(kind, this.bench.now());
			}
		}
		assertThat(wrong.answer(this.bench), Matchers.equalTo(Wrong.DOUBTFUL));
	}

	// The store's answer was under way when the VM was suspended, and is read after it.
	// By the monotonic clock it is some milliseconds old.
	@ParameterizedTest
	@EnumSource
	void whatWasKnownBeforeASuspensionRejectsNothing(Wrong wrong) {
		confirmed(Kind.ROUTES, this.bench.now());
		long askedBefore = this.bench.now();
		this.bench.suspend(TEN_SECONDS);
		this.bench.tick();
		assertThat(wrong.answer(this.bench), Matchers.equalTo(Wrong.DOUBTFUL));
		confirmed(Kind.ROUTES, askedBefore);
		assertThat(wrong.answer(this.bench), Matchers.equalTo(Wrong.DOUBTFUL));
		confirmed(Kind.ROUTES, this.bench.now());
		assertThat(wrong.answer(this.bench), Matchers.equalTo(wrong.rejected));
	}

	// The front judges sizes on a thread of its own, by what the thread that decides has
	// said last. That one is held up, or the VM was suspended since.
	@ParameterizedTest
	@CsvSource({ "2700,0,true", "2701,0,false", "0,10000,false" })
	void sizesAreJudgedByTheAgeOfNow(long passedMillis, long suspendedMillis, boolean rejects) {
		confirmed(Kind.ROUTES, this.bench.now());
		this.bench.pass(passedMillis);
		this.bench.suspend(Duration.ofMillis(suspendedMillis));
		assertThat(this.bench.view().mayReject(), Matchers.equalTo(rejects));
	}

	// The neighbour reads for this entry. What an own call found, made before it came to
	// rest, was not taken and confirms nothing.
	@ParameterizedTest
	@EnumSource
	void whoRestsIsConfirmedByItsReaderAlone(Wrong wrong) {
		this.bench.untilAsked();
		this.bench.hear();
		confirmed(Kind.ROUTES, this.bench.now());
		assertThat(wrong.answer(this.bench), Matchers.equalTo(Wrong.DOUBTFUL));
		this.bench.reader().confirmed(this.bench.now() - millis(2700));
		this.bench.run(Duration.ofSeconds(1));
		assertThat(wrong.answer(this.bench), Matchers.equalTo(Wrong.DOUBTFUL));
		this.bench.reader().confirmed(this.bench.now());
		this.bench.run(Duration.ofMillis(1100));
		assertThat(wrong.answer(this.bench), Matchers.equalTo(wrong.rejected));
	}

	// The entry that reads for others was suspended. It says no age until its routes are
	// confirmed by a call that was made afterwards: whoever hears it would take them for
	// younger than they are by as long as it was away.
	@ParameterizedTest
	@CsvSource({ "-1,false", "0,true" })
	void whoReadsForOthersSaysNoAgeFromBeforeASuspension(long askedAfterMillis, boolean said) {
		this.bench.link(true);
		confirmed(Kind.ROUTES, this.bench.now());
		this.bench.suspend(TEN_SECONDS);
		this.bench.tick();
		confirmed(Kind.ROUTES, this.bench.now() + millis(askedAfterMillis));
		this.bench.sent().clear();
		NewsRequest request = NewsRequest.newBuilder().setWanted(true).setStamp(7).build();
		this.bench.apply(new DirectEvent.PeerWantsNews(StateBench.READER, request));
		Frame answer = this.bench.sent().getLast();
		assertThat(answer.getNews().getCurrent(), Matchers.equalTo(true));
		assertThat(answer.getNews().hasAgeMillis(), Matchers.equalTo(said));
	}

	/** What is wrong with a request. */
	enum Wrong {

		ROUTE("rejected 404"), TOKEN("rejected 401"), NO_TOKEN("rejected 401"), SIZE("rejected");

		static final String DOUBTFUL = "refused " + Intake.TABLE_DOUBTFUL.name();

		final String rejected;

		Wrong(String rejected) {
			this.rejected = rejected;
		}

		// The size is checked by the front, before a request is handed on.
		String answer(StateBench bench) {
			return switch (this) {
				case ROUTE -> bench.request("/other/", TableAgeTests.TOKEN);
				case TOKEN -> bench.request(KNOWN, Optional.of("other"));
				case NO_TOKEN -> bench.request(KNOWN, Optional.empty());
				case SIZE -> bench.view().mayReject() ? this.rejected : DOUBTFUL;
			};
		}

	}

}
