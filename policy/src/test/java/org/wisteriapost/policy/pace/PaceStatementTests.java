package org.wisteriapost.policy.pace;

import java.time.Duration;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wisteriapost.policy.fleet.RunnerIncarnation;

import static org.hamcrest.MatcherAssert.assertThat;

class PaceStatementTests {

	// Guards against a statement that counts too long or for another incarnation; an
	// unknown incarnation (0) is neither before nor after any.
	@ParameterizedTest
	@CsvSource({ "5,5,0,2.5", "5,5,999,2.5", "5,5,1000,1", "5,6,0,1", "6,5,0,1", "0,5,0,2.5", "5,0,0,2.5" })
	void statementCountsForASecondAndItsIncarnation(long stated, long current, long ageMillis, double expected) {
		PaceStatement statement = new PaceStatement(2.5, 0, incarnation(stated));
		assertThat(statement.effective(incarnation(current), Duration.ofMillis(ageMillis).toNanos()),
				Matchers.equalTo(expected));
	}

	private static RunnerIncarnation incarnation(long started) {
		return (started == 0) ? RunnerIncarnation.UNKNOWN : RunnerIncarnation.startedAt(started);
	}

	// Guards against bytes between failure domains for statements that nobody can use.
	@Test
	void statementsAreRelayedWhileTheyStayYoung() {
		assertThat(PaceStatement.worthRelaying(Duration.ofMillis(500)), Matchers.equalTo(true));
		assertThat(PaceStatement.worthRelaying(Duration.ofMillis(2300)), Matchers.equalTo(false));
	}

}
