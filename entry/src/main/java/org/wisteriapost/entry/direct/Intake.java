package org.wisteriapost.entry.direct;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import org.apache.commons.rng.UniformRandomProvider;
import org.wisteriapost.kernel.Code;
import org.wisteriapost.kernel.log.DecisionLog;
import org.wisteriapost.policy.dispatch.Job;
import org.wisteriapost.policy.routing.Organisation;
import org.wisteriapost.policy.routing.Route;
import org.wisteriapost.policy.routing.RouteTable;

/**
 * Takes a request up by the declared routes, or answers it at once. Used by the state
 * thread alone.
 *
 * What is wrong by a table that may be old is refused as not run, not rejected: see
 * {@link org.wisteriapost.policy.routing.RejectionGuard}.
 */
final class Intake {

	static final Code TABLE_ABSENT = Code.refusal("table-absent", "The entry does not know the declared routes yet.");

	static final Code TABLE_DOUBTFUL = Code.refusal("table-doubtful",
			"The entry's table does not cover the request and may be old.");

	static final Code ROUTE_UNKNOWN = Code.error("route-unknown", "No declared route covers the host and path.");

	static final Code KEY_UNKNOWN = Code.error("key-unknown", "The bearer token is not one of an organisation.");

	static final Code ENTRY_STOPPING = Code.refusal("entry-stopping", "The entry is about to stop.");

	private static final int UNAUTHORIZED = 401;

	private static final int NOT_FOUND = 404;

	private static final long SHORT_RETRY_MILLIS = 300;

	// Another entry answers now; there is nothing to wait for.
	private static final long AT_ONCE_MILLIS = 20;

	private final SiteBeliefs beliefs;

	private final Departure departure;

	private final CallOutput output;

	private final DecisionLog log;

	private final DirectMetrics metrics;

	private final UniformRandomProvider random;

	private final BooleanSupplier rests;

	/**
	 * Returns the intake of one entry.
	 * @param rests whether the entry hears the store from a neighbour, for the log
	 */
	Intake(SiteBeliefs beliefs, Departure departure, CallOutput output, DecisionLog log, DirectMetrics metrics,
			UniformRandomProvider random, BooleanSupplier rests) {
		this.beliefs = beliefs;
		this.departure = departure;
		this.output = output;
		this.log = log;
		this.metrics = metrics;
		this.random = random;
		this.rests = rests;
	}

	/**
	 * Returns the request to be dispatched; empty when it was answered.
	 */
	Optional<Job> admit(Arrival arrival, long now) {
		this.departure.arrived(now);
		if (this.beliefs.table().isEmpty()) {
			return refuse(arrival, TABLE_ABSENT, SHORT_RETRY_MILLIS, now);
		}
		if (this.departure.refuses(now)) {
			return refuse(arrival, ENTRY_STOPPING, AT_ONCE_MILLIS, now);
		}
		RouteTable known = this.beliefs.table().get();
		Optional<Route> route = known.route(arrival.host(), arrival.path());
		if (route.isEmpty()) {
			return reject(arrival, NOT_FOUND, ROUTE_UNKNOWN, now);
		}
		Optional<Organisation> organisation = arrival.token().flatMap(known::organisation);
		if (organisation.isEmpty() && known.requiresTokens() && !route.get().anonymous()) {
			return reject(arrival, UNAUTHORIZED, KEY_UNKNOWN, now);
		}
		return Optional.of(job(arrival, route.get(), organisation));
	}

	private Job job(Arrival arrival, Route route, Optional<Organisation> organisation) {
		long timeout = route.timeout().toNanos();
		long given = arrival.fields().remainingMillis().isPresent()
				? TimeUnit.MILLISECONDS.toNanos(arrival.fields().remainingMillis().getAsLong()) : timeout;
		Job.Size size = new Job.Size(arrival.fields().promptTokens(), arrival.fields().maxAnswerTokens(),
				arrival.fields().likelyAnswerTokens());
		Job.Attempt attempt = new Job.Attempt(arrival.fields().attempt().orElseThrow(),
				RequestNames.of(route, organisation, arrival.fields()), arrival.fields().lastEvent());
		return Job.create(arrival.id(), attempt, route, route.selectService(this.random.nextDouble()), organisation,
				size, arrival.nanos(), arrival.nanos() + Math.min(timeout, given));
	}

	private Optional<Job> refuse(Arrival arrival, Code code, long retryAfterMillis, long now) {
		this.log.failure("refused", "attempt", arrival.fields().attempt().orElse(""), "code", code.name(), "table",
				this.beliefs.version(), "tableAgeMs", this.beliefs.tableAgeMillis(now).orElse(-1));
		this.metrics.answered("refused", code.name());
		this.output.refuse(arrival, code, retryAfterMillis);
		return Optional.empty();
	}

	private Optional<Job> reject(Arrival arrival, int status, Code code, long now) {
		if (!this.beliefs.mayReject(now)) {
			return refuse(arrival, TABLE_DOUBTFUL, SHORT_RETRY_MILLIS, now);
		}
		this.log.failure("rejected", "attempt", arrival.fields().attempt().orElse(""), "code", code.name(), "host",
				arrival.host(), "path", arrival.path(), "table", this.beliefs.version(), "tableAgeMs",
				this.beliefs.tableAgeMillis(now).orElse(-1), "rests", this.rests.getAsBoolean());
		this.metrics.answered("rejected", code.name());
		this.output.reject(arrival, status, code);
		return Optional.empty();
	}

}
