package org.wisteriapost.standin;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.wisteriapost.protocol.CallerHeaders;
import org.wisteriapost.standin.TrafficCall.Verdict;
import org.wisteriapost.standin.TrafficRecorder.Count;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class TrafficCallTests {

	private static final String END = "data: [DONE]\n\n";

	private static final TrafficCall STREAM = new TrafficCall.Completion("m", "mine", 3, true);

	private static final TrafficCall WHOLE = new TrafficCall.Completion("m", "mine", 2, false);

	static Stream<Arguments> responses() {
		String own = event("w1", "mine", 0) + event("w1", "mine", 1) + event("w1", "mine", 2);
		String found = "{\"key\":\"a\",\"answer\":\"" + PlainServer.lookup("a") + "\"}";
		String made = "{\"number\":\"1\",\"key\":\"k\",\"requestId\":\"r\"}";
		return Stream.of(Arguments.of("whole stream", STREAM, own + END, false, Verdict.CORRECT),
				Arguments.of("unterminated stream that closes cleanly", STREAM, own, false, Verdict.WRONG),
				Arguments.of("unterminated stream that is cut", STREAM, own, true, Verdict.TRUNCATED),
				Arguments.of("stream cut inside an event", STREAM, own.substring(0, own.length() - 9), true,
						Verdict.TRUNCATED),
				Arguments.of("stream with a missing token", STREAM,
						event("w1", "mine", 0) + event("w1", "mine", 1) + END, false, Verdict.WRONG),
				Arguments.of("stream with a duplicate token", STREAM, event("w1", "mine", 0) + own + END, false,
						Verdict.MIXED),
				Arguments.of("stream of another prompt", STREAM,
						own.replace(event("w1", "mine", 0), event("w1", "other", 0)) + END, false, Verdict.WRONG),
				Arguments.of("stream of two sets of weights", STREAM,
						event("w1", "mine", 0) + event("w2", "mine", 1) + event("w2", "mine", 2) + END, false,
						Verdict.MIXED),
				Arguments.of("cut stream of two sets of weights", STREAM,
						event("w1", "mine", 0) + event("w2", "mine", 1), true, Verdict.MIXED),
				Arguments.of("whole body", WHOLE, body("w1", 2), false, Verdict.CORRECT),
				Arguments.of("body with weights that differ from its label", WHOLE, body("w2", 2), false,
						Verdict.WRONG),
				Arguments.of("body with a missing token", WHOLE, body("w1", 1), false, Verdict.WRONG),
				Arguments.of("cut body", WHOLE, "{\"choices\":[", true, Verdict.TRUNCATED),
				Arguments.of("lookup", new TrafficCall.Lookup("p", "a"), found, false, Verdict.CORRECT),
				Arguments.of("foreign lookup", new TrafficCall.Lookup("p", "b"), found, false, Verdict.WRONG),
				Arguments.of("allocation", new TrafficCall.Allocation("p", "k"), made, false, Verdict.CORRECT),
				Arguments.of("foreign allocation", new TrafficCall.Allocation("p", "l"), made, false, Verdict.WRONG));
	}

	@ParameterizedTest(name = "{0}")
	@MethodSource("responses")
	void answerIsEvaluated(String name, TrafficCall call, String body, boolean cut, Verdict verdict) {
		BufferedResponse response = new BufferedResponse();
		response.onHead(200, Map.of(CallerHeaders.WEIGHTS.toLowerCase(java.util.Locale.ROOT), "w1"));
		response.onData(body.getBytes(StandardCharsets.UTF_8));
		if (cut) {
			response.onFailure(true, new IllegalStateException("reset"));
		}
		else {
			response.onEnd();
		}
		assertThat(call.evaluate(response), is(verdict));
	}

	@Test
	void recorderCountsContradictionsWithTheRunners() {
		TrafficRecorder recorder = new TrafficRecorder();
		recorder.recordNotRun("r1");
		recorder.recordNotRun("r2");
		recorder.recordWeightsLabel("w1");
		recorder.recordWeightsLabel("w2");
		recorder.checkExecuted(Map.of("r2", 1L, "r3", 2L));
		recorder.checkAllocations(List.of(new PlainServer.Execution("1", "k", "r3"),
				new PlainServer.Execution("2", "k", "r4"), new PlainServer.Execution("3", "l", "r5")));
		recorder.checkLabels(Set.of("w1"));
		assertThat(recorder.total(Count.NOT_RUN_THAT_RAN), is(1L));
		assertThat(recorder.total(Count.DUPLICATED), is(1L));
		assertThat(recorder.total(Count.WRONG), is(1L));
	}

	private static String event(String weights, String prompt, int index) {
		return "data: {\"choices\":[{\"delta\":{\"content\":\"" + EngineTokens.token(weights, prompt, index)
				+ "\"}}]}\n\n";
	}

	private static String body(String weights, int tokens) {
		return "{\"choices\":[{\"message\":{\"content\":\"" + EngineTokens.answer(weights, "mine", tokens) + "\"}}]}";
	}

}
