package org.wisteriapost.entry.direct;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import org.apache.commons.rng.simple.RandomSource;
import org.hamcrest.Matchers;
import org.junit.jupiter.api.Test;
import org.wisteriapost.kernel.log.DecisionLog;
import org.wisteriapost.policy.dispatch.DispatchEffect;
import org.wisteriapost.policy.dispatch.DispatchLimits;
import org.wisteriapost.policy.dispatch.Dispatcher;
import org.wisteriapost.policy.dispatch.Job;
import org.wisteriapost.policy.fleet.RunnerIncarnation;
import org.wisteriapost.policy.fleet.RunnerInfo;
import org.wisteriapost.policy.routing.Route;
import org.wisteriapost.policy.routing.Route.WeightedService;
import org.wisteriapost.policy.routing.RouteKind;
import org.wisteriapost.protocol.site.DecodedObject;
import org.wisteriapost.protocol.site.ObjectStore;

import static org.hamcrest.MatcherAssert.assertThat;

/**
 * What the log and the metrics show of evacuations.
 */
class EvacuationUpdatesTests {

	private static final DispatchLimits LIMITS = new DispatchLimits("hall-a", 0.2, 100, Duration.ofSeconds(10),
			Duration.ofSeconds(8));

	private static final Route ROUTE = new Route("draft", "desk.example", "/", RouteKind.IDEMPOTENT,
			Duration.ofSeconds(1), Duration.ofMillis(100), 1, List.of(new WeightedService("api", 1)), 2, false, false,
			Duration.ofMillis(400));

	private final Dispatcher dispatcher = Dispatcher.create(LIMITS, RandomSource.XO_RO_SHI_RO_128_PP.create(1));

	private final SimpleMeterRegistry registry = new SimpleMeterRegistry();

	private static long seconds(long seconds) {
		return Duration.ofSeconds(seconds).toNanos();
	}

	private double gauge() {
		return this.registry.get("wisteriapost.entry.evacuated.failure.domains").gauge().value();
	}

	private static ObjectStore.Change change(long revision, boolean readable, boolean deleted) {
		Optional<DecodedObject> value = readable ? Optional.of(new DecodedObject.Evacuation("hall-a"))
				: Optional.empty();
		return new ObjectStore.Change(new ObjectStore.Item("hall-a", revision, value, () -> new byte[0]), deleted);
	}

	// Guards against refusals and idle runners that the log and the gauge do not explain.
	@Test
	void startRefusalAndEndAreLoggedAndCounted() {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		this.dispatcher.updateRunner(new RunnerInfo("r1", "api", "10.0.0.1:80", "hall-a", 6, false, 0, Map.of(), 0,
				RunnerIncarnation.UNKNOWN), 0);
		try (DecisionLog log = DecisionLog.start("entry", new PrintStream(out, true, StandardCharsets.UTF_8))) {
			EvacuationUpdates updates = new EvacuationUpdates(this.dispatcher.evacuated(), log,
					DirectMetrics.create(this.registry));
			updates.applyChange(change(4, false, false), 0);
			updates.applyChange(change(5, true, false), seconds(1));
			assertThat(gauge(), Matchers.equalTo(1.0));
			this.dispatcher.requestArrived(job(), seconds(3));
			this.dispatcher.drainEffects()
				.forEach((effect) -> updates.requestRefused((DispatchEffect.Refuse) effect, seconds(3)));
			updates.applyChange(change(6, true, true), seconds(61));
			assertThat(gauge(), Matchers.equalTo(0.0));
		}
		assertThat(out.toString(StandardCharsets.UTF_8).lines().toList(), Matchers.contains(
				Matchers.containsString("\"evacuation-unreadable\",\"failureDomain\":\"hall-a\",\"revision\":4"),
				Matchers.containsString("\"evacuation-in-force\",\"failureDomain\":\"hall-a\",\"revision\":5"),
				Matchers.containsString("\"refused-by-evacuation\",\"attempt\":\"attempt\",\"service\":\"api\","
						+ "\"failureDomain\":\"hall-a\",\"ageMs\":2000"),
				Matchers.containsString(
						"\"evacuation-over\",\"failureDomain\":\"hall-a\",\"revision\":6," + "\"ageMs\":60000")));
	}

	private static Job job() {
		Job.Attempt attempt = new Job.Attempt("attempt", 1, OptionalLong.empty(), Optional.empty());
		return Job.create(1, attempt, ROUTE, "api", Optional.empty(), new Job.Size(1, 1, OptionalInt.empty()),
				seconds(3), seconds(4));
	}

}
