package org.wisteriapost.entry.direct;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import org.hamcrest.Matchers;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wisteriapost.protocol.http.HttpResponse;

import static org.hamcrest.MatcherAssert.assertThat;

/**
 * Answers that a runner sends a second time, when the next request arrives on the same
 * connection.
 */
class SurplusAnswerTests {

	private static final int REQUESTS = 12;

	private static final String EVENT_STREAM = "content-type: text/event-stream\r\n";

	private static final String EVENTS = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

	private static HttpResponse call(EntryOnSockets entry, String path, String attempt) throws Exception {
		return entry.request(path, attempt).get(12, TimeUnit.SECONDS);
	}

	private static String text(HttpResponse response) {
		return new String(response.body(), StandardCharsets.US_ASCII);
	}

	/**
	 * Answers the first request of an attempt with the given status. A later one is run;
	 * if it comes on the same connection, the earlier answer is sent once more before.
	 */
	private static ScriptedRunner.Script answeringTwice(int status) {
		Map<String, Integer> connections = new ConcurrentHashMap<>();
		return (runner, request, socket) -> {
			byte[] first = ScriptedRunner.response(status, request.attempt(), "", "first");
			Integer earlier = connections.putIfAbsent(request.attempt(), request.connection());
			if (earlier == null) {
				socket.getOutputStream().write(first);
				return;
			}
			if (earlier == request.connection()) {
				socket.getOutputStream().write(first);
			}
			runner.recordRun(request.attempt());
			socket.getOutputStream().write(success(request));
		};
	}

	private static byte[] success(ScriptedRunner.Request request) {
		return ScriptedRunner.response(200, request.attempt(), EVENT_STREAM, EVENTS);
	}

	// Guards against a request that counts as rejected or failed although it has run: the
	// runner's answer to an earlier dispatch comes again after the next one.
	@ParameterizedTest
	@CsvSource({ "/once/x, 503, 503", "/plain/x, 503, 503", "/feed/x, 503, 503", "/plain/x, 500, 503" })
	void answerToAnEarlierDispatchIsNotTakenForThatToTheNext(String path, int status, int other) throws Exception {
		try (ScriptedRunner first = ScriptedRunner.start(answeringTwice(status));
				ScriptedRunner second = ScriptedRunner.start(answeringTwice(other));
				ScriptedRunner third = ScriptedRunner.start(answeringTwice(other));
				EntryOnSockets entry = new EntryOnSockets(
						List.of(first.address(), second.address(), third.address()))) {
			int served = 0;
			for (int i = 0; i < REQUESTS; i++) {
				String attempt = "a" + i;
				HttpResponse response = call(entry, path, attempt);
				if (response.status() == 200) {
					assertThat(text(response), Matchers.equalTo(EVENTS));
					served++;
				}
				else {
					assertThat(response.status() + " " + text(response),
							Stream.of(first, second, third).noneMatch((runner) -> runner.runs().contains(attempt)));
				}
			}
			assertThat(served, Matchers.greaterThan(REQUESTS / 2));
		}
	}

}
