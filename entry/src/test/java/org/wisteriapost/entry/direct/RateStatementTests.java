package org.wisteriapost.entry.direct;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;

import org.hamcrest.Matchers;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wisteriapost.policy.dispatch.Job;
import org.wisteriapost.policy.routing.Route;
import org.wisteriapost.policy.routing.Route.WeightedService;
import org.wisteriapost.policy.routing.RouteKind;
import org.wisteriapost.protocol.http.BufferQuota;
import org.wisteriapost.protocol.site.CallerRequestFields;

import static org.hamcrest.MatcherAssert.assertThat;

/**
 * What the heads of a runner's responses state of its rate.
 */
class RateStatementTests {

	private static final Duration TIMEOUT = Duration.ofSeconds(6);

	private final List<DirectEvent> events = new ArrayList<>();

	private List<OptionalDouble> stated(int status, String header) {
		Route route = new Route("draft", "desk.example", "/", RouteKind.IDEMPOTENT, TIMEOUT, TIMEOUT, 1,
				List.of(new WeightedService("api", 1)), 2, true, false, TIMEOUT);
		Job job = Job.create(1, new Job.Attempt("a1", 1, OptionalLong.empty(), Optional.empty()), route, "api",
				Optional.empty(), new Job.Size(0, 0, OptionalInt.empty()), 0, TIMEOUT.toNanos());
		CallerRequestFields fields = new CallerRequestFields(Optional.of("a1"), OptionalLong.empty(), 0, 0,
				OptionalInt.empty(), Optional.empty(), Optional.empty());
		IncomingRequest request = new IncomingRequest(1, "GET", "desk.example", "/", "/", Map.of(), Optional.empty(),
				fields, new byte[0], null, 0);
		ResponseForwarder forwarder = new ResponseForwarder(new DirectCall(request, job), 1, null, new FleetProtocol(),
				this.events::add, BufferQuota.of(Long.MAX_VALUE));
		forwarder.onHead(status, Map.of("attempt", "a1", header, "2"), List.of());
		return this.events.stream()
			.filter(DirectEvent.RunnerRateStated.class::isInstance)
			.map((event) -> ((DirectEvent.RunnerRateStated) event).perSecond())
			.toList();
	}

	// Guards against a limit that is lifted by a rejection, by a failure, or by a limit
	// that can't be read: none of these says that the runner has no limit any more.
	@ParameterizedTest
	@CsvSource({ "500,other", "502,other", "503,other", "404,other", "200,unreadable-limit" })
	void answerThatIsSilentOnTheLimitStatesNothing(int status, String header) {
		assertThat(stated(status, header), Matchers.empty());
	}

	@ParameterizedTest
	@CsvSource(value = { "200,limit,2", "503,limit,2", "500,limit,2", "200,other,none" }, nullValues = "none")
	void answerStatesTheLimitThatItNamesOrThatThereIsNone(int status, String header, Double expected) {
		assertThat(stated(status, header),
				Matchers.contains((expected != null) ? OptionalDouble.of(expected) : OptionalDouble.empty()));
	}

}
