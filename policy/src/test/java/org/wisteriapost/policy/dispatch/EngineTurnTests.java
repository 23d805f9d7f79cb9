package org.wisteriapost.policy.dispatch;

import java.util.List;
import java.util.OptionalInt;
import java.util.OptionalLong;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wisteriapost.policy.fleet.RunnerInfo;
import org.wisteriapost.policy.fleet.RunnerStart;

import static org.hamcrest.MatcherAssert.assertThat;

class EngineTurnTests {

	private final RunnerInfo closing = Desk.engine("e1");

	private final RunnerInfo open = Desk.engine("e2");

	private final Desk desk = new Desk().with(this.closing, this.open);

	private void closes(RunnerInfo engine, long inMillis) {
		this.desk.dispatcher.agentSays(engine.address(), new EngineWord(OptionalInt.of(1), false,
				OptionalLong.of(this.desk.now + inMillis * Desk.MILLI), RunnerStart.UNKNOWN), this.desk.now);
	}

	private List<String> arrive(int answerTokens) {
		this.desk.arrive(Desk.STREAM, new Job.Size(500, 250, OptionalInt.of(answerTokens)), 6000);
		return this.desk.done();
	}

	// The other engine is busy, so the one that changes weights soon looks better. A
	// long answer there would keep it from its new weights, with its other slots
	// empty; a short one ends before and uses the time.
	@ParameterizedTest
	@CsvSource({ "20,Send:e1", "250,Send:e2" })
	void anEngineIsGivenOnlyWhatEndsBeforeItsTurn(int answerTokens, String sent) {
		this.desk.others("e2", new PeerLoad(8, 2, 2000));
		closes(this.closing, 900);
		assertThat(arrive(answerTokens), Matchers.contains(sent));
	}

	// All engines have their turn soon. A long answer goes to one of them all the same: a
	// late change of weights is better than a refusal.
	@Test
	void whenAllChangeSoonALongAnswerIsStillSent() {
		closes(this.closing, 400);
		closes(this.open, 500);
		assertThat(arrive(250), Matchers.contains(Matchers.startsWith("Send")));
	}

	@Test
	void afterItsTurnAnEngineTakesLongAnswersAgain() {
		closes(this.closing, 300);
		this.desk.dispatcher.agentSays(this.closing.address(),
				new EngineWord(OptionalInt.of(2), false, OptionalLong.empty(), RunnerStart.UNKNOWN), this.desk.now);
		this.desk.others("e2", new PeerLoad(8, 2, 2000));
		assertThat(arrive(250), Matchers.contains("Send:e1"));
	}

}
