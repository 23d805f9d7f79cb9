package org.wisteriapost.entry.direct;

import java.time.Duration;
import java.util.List;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import org.wisteriapost.policy.admission.ContentionReport;
import org.wisteriapost.policy.dispatch.InFlightLoad;
import org.wisteriapost.policy.dispatch.RefusedRequest;
import org.wisteriapost.policy.dispatch.RunnerLoad;
import org.wisteriapost.policy.fleet.RunnerIncarnation;
import org.wisteriapost.policy.ratelimit.RateLimitReport;
import org.wisteriapost.policy.ratelimit.RateStatement;
import org.wisteriapost.protocol.site.EngineStatusCodec;
import org.wisteriapost.protocol.wire.LoadReport;
import org.wisteriapost.protocol.wire.RunnerLimit;
import org.wisteriapost.protocol.wire.ServiceContention;
import org.wisteriapost.protocol.wire.ServiceDemand;

/**
 * Converts load reports between their wire form and the policy types.
 */
final class LoadReportCodec {

	// Sent when the incarnation of a runner is not known.
	private static final long UNKNOWN = 0;

	private LoadReportCodec() {
	}

	static org.wisteriapost.protocol.wire.RunnerLoad encode(RunnerLoad runnerLoad) {
		return org.wisteriapost.protocol.wire.RunnerLoad.newBuilder()
			.setRunner(runnerLoad.runnerId())
			.setStartedMillis(incarnationMillis(runnerLoad.incarnation()))
			.setActive(runnerLoad.load().requests())
			.setWaiting(Math.max(0, runnerLoad.load().awaitingFirstEvent()))
			.setWaitingPrompt((int) Math.max(0, runnerLoad.load().awaitingPromptTokens()))
			.build();
	}

	static RunnerLoad decode(org.wisteriapost.protocol.wire.RunnerLoad message) {
		InFlightLoad load = new InFlightLoad(message.getActive(), message.getWaiting(), message.getWaitingPrompt());
		return new RunnerLoad(message.getRunner(), EngineStatusCodec.incarnation(message.getStartedMillis()), load);
	}

	static org.wisteriapost.protocol.wire.RefusedRequest encode(RefusedRequest refusal, long nowNanos) {
		return org.wisteriapost.protocol.wire.RefusedRequest.newBuilder()
			.setRequest(refusal.requestKey())
			.setAskedMillis(millis(nowNanos - refusal.firstAttemptNanos()))
			.setLeftMillis(millis(refusal.deadlineNanos() - nowNanos))
			.build();
	}

	static RefusedRequest decode(org.wisteriapost.protocol.wire.RefusedRequest message, long nowNanos) {
		return new RefusedRequest(message.getRequest(),
				nowNanos - TimeUnit.MILLISECONDS.toNanos(message.getAskedMillis()),
				nowNanos + TimeUnit.MILLISECONDS.toNanos(message.getLeftMillis()));
	}

	static ServiceContention encode(ContentionReport report) {
		ServiceContention.Builder message = ServiceContention.newBuilder()
			.setService(report.service())
			.setAgeMillis(millis(report.ago().toNanos()));
		report.rank().ifPresent((rank) -> message.setRankPlusOne(rank + 1));
		return message.build();
	}

	static ContentionReport decode(ServiceContention message) {
		OptionalInt rank = (message.getRankPlusOne() > 0) ? OptionalInt.of(message.getRankPlusOne() - 1)
				: OptionalInt.empty();
		return new ContentionReport(message.getService(), rank, Duration.ofMillis(message.getAgeMillis()));
	}

	static void encode(RateLimitReport rates, LoadReport.Builder report, long nowNanos) {
		rates.limits().forEach((limit) -> report.addLimits(encode(limit, nowNanos)));
		rates.demands()
			.forEach((demand) -> report
				.addDemands(ServiceDemand.newBuilder().setService(demand.service()).setPerSecond(demand.perSecond())));
	}

	static RateLimitReport decodeRates(LoadReport report, long nowNanos) {
		List<RateLimitReport.Limit> limits = report.getLimitsList()
			.stream()
			.map((limit) -> decode(limit, nowNanos))
			.toList();
		List<RateLimitReport.Demand> demands = report.getDemandsList()
			.stream()
			.map((demand) -> new RateLimitReport.Demand(demand.getService(), demand.getPerSecond()))
			.toList();
		return new RateLimitReport(limits, demands);
	}

	private static RunnerLimit encode(RateLimitReport.Limit limit, long nowNanos) {
		RateStatement statement = limit.statement();
		RunnerLimit.Builder message = RunnerLimit.newBuilder()
			.setRunner(limit.runnerId())
			.setStartedMillis(incarnationMillis(limit.incarnation()))
			.setLimited(statement.perSecond().isPresent())
			.setPerSecond(statement.perSecond().orElse(0))
			.setAgeMillis(millis(nowNanos - statement.latestNanos()));
		statement.earliestNanos()
			.ifPresent((earliest) -> message.setRequestAgeMillisPlusOne(millis(nowNanos - earliest) + 1));
		return message.build();
	}

	private static RateLimitReport.Limit decode(RunnerLimit message, long nowNanos) {
		OptionalDouble perSecond = message.getLimited() ? OptionalDouble.of(message.getPerSecond())
				: OptionalDouble.empty();
		int requestAge = message.getRequestAgeMillisPlusOne();
		OptionalLong earliest = (requestAge > 0) ? OptionalLong.of(nowNanos - TimeUnit.MILLISECONDS.toNanos(requestAge))
				: OptionalLong.empty();
		return new RateLimitReport.Limit(message.getRunner(), EngineStatusCodec.incarnation(message.getStartedMillis()),
				new RateStatement(perSecond, earliest,
						nowNanos - TimeUnit.MILLISECONDS.toNanos(message.getAgeMillis())));
	}

	private static int millis(long nanos) {
		return (int) Math.clamp(TimeUnit.NANOSECONDS.toMillis(nanos), 0, Integer.MAX_VALUE);
	}

	private static long incarnationMillis(RunnerIncarnation incarnation) {
		return incarnation.startedMillis().orElse(UNKNOWN);
	}

}
