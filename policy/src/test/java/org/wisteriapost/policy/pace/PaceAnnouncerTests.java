package org.wisteriapost.policy.pace;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.function.LongToDoubleFunction;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wisteriapost.policy.fleet.RunnerIncarnation;

import static org.hamcrest.MatcherAssert.assertThat;

/**
 * What an agent reads and tells in some seconds of an engine's pace.
 */
class PaceAnnouncerTests {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final PaceAnnouncer announcer = new PaceAnnouncer();

	// Paces told, at 1 for an engine that is not slow, and the milliseconds at which.
	private final List<Double> told = new ArrayList<>();

	private final List<Long> toldMillis = new ArrayList<>();

	private int reads;

	// Reads the report whenever it is due, as if the answer took no time.
	private void run(long millis, LongToDoubleFunction pace) {
		this.announcer.readStarted(0);
		this.announcer.reportRead(OptionalDouble.of(pace.applyAsDouble(0)), true, RunnerIncarnation.UNKNOWN, 0);
		for (long now = 0; now < millis; now++) {
			long nanos = now * NANOS_PER_MILLI;
			if (this.announcer.readDue(nanos)) {
				this.reads++;
				this.announcer.readStarted(nanos);
				this.announcer.reportRead(OptionalDouble.of(pace.applyAsDouble(now)), true, RunnerIncarnation.UNKNOWN,
						nanos);
			}
			tell(now);
		}
	}

	private void tell(long millis) {
		if (this.announcer.tellDue(millis * NANOS_PER_MILLI)) {
			this.told.add(this.announcer.slow().map(PaceStatement::pace).orElse(PaceStatement.NORMAL));
			this.toldMillis.add(millis);
			this.announcer.told(millis * NANOS_PER_MILLI);
		}
	}

	// Guards against entries that learn of a spell of 0.6 s when a third of it is over,
	// or
	// never of its end.
	@Test
	void spellAndItsEndAreToldWithinAReadInterval() {
		run(3000, (now) -> (now >= 1050 && now < 1650) ? 2.5 : 1);
		assertThat(this.told, Matchers.contains(2.5, 2.5, 1.0));
		assertThat(this.toldMillis.getFirst(), Matchers.lessThanOrEqualTo(1200L));
		assertThat(this.toldMillis.getLast(), Matchers.lessThanOrEqualTo(1800L));
	}

	// Guards against more than a message each 100 ms, whatever the engine reports and
	// however often its report is read.
	@Test
	void messagesKeepTheirDistance() {
		Random random = new Random(7);
		for (long now = 0; now < 20_000; now += 5) {
			OptionalDouble pace = OptionalDouble.of(1 + 4 * random.nextDouble());
			this.announcer.reportRead(pace, true, RunnerIncarnation.UNKNOWN, now * NANOS_PER_MILLI);
			tell(now);
		}
		assertThat(this.told.size(), Matchers.both(Matchers.greaterThan(50)).and(Matchers.lessThanOrEqualTo(200)));
		for (int i = 1; i < this.toldMillis.size(); i++) {
			assertThat(this.toldMillis.get(i) - this.toldMillis.get(i - 1), Matchers.greaterThanOrEqualTo(100L));
		}
	}

	// Guards against a message for each small change, and against a return to normal that
	// is not told because it is small.
	@ParameterizedTest
	@CsvSource({ "1,1.15,0", "1,1.25,1", "2,2.3,1", "2,2.5,2", "2.5,2,2", "1.25,1,2", "1.25,1.15,1" })
	void changesByMoreThanAFifthAndReturnsAreTold(double first, double second, int messages) {
		run(450, (now) -> (now < 100) ? first : second);
		assertThat(this.told, Matchers.hasSize(messages));
	}

	// Guards against entries that forget a pace which lasts: a statement counts for one
	// second.
	@Test
	void lastingPaceIsRepeated() {
		run(4000, (now) -> 3);
		assertThat(this.told.size(), Matchers.both(Matchers.greaterThanOrEqualTo(7)).and(Matchers.lessThan(9)));
	}

	// Guards against an old statement that is repeated as if it were new while the engine
	// does not answer.
	@Test
	void statementIsNotRepeatedWithoutAReport() {
		run(10, (now) -> 3);
		for (long now = 10; now < 5000; now += 10) {
			this.announcer.readFailed();
			tell(now);
		}
		assertThat(this.told, Matchers.hasSize(1));
	}

	// Guards against any cost at engines whose report has no pace.
	@Test
	void nothingIsReadOrToldWithoutAPace() {
		for (long now = 0; now < 5000; now += 10) {
			this.announcer.reportRead(OptionalDouble.empty(), true, RunnerIncarnation.UNKNOWN, now * NANOS_PER_MILLI);
			assertThat(this.announcer.nextReadNanos(), Matchers.equalTo(Long.MAX_VALUE));
			tell(now);
		}
		assertThat(this.told, Matchers.empty());
	}

	// Guards against a processor share that grows: seven reads a second with requests.
	@Test
	void readsAreBounded() {
		run(10_000, (now) -> 1);
		assertThat(this.reads, Matchers.lessThanOrEqualTo(67));
	}

}
