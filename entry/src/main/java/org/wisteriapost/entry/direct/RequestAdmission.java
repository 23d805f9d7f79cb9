package org.wisteriapost.entry.direct;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import org.apache.commons.rng.UniformRandomProvider;
import org.wisteriapost.kernel.Code;
import org.wisteriapost.kernel.log.DecisionLog;
import org.wisteriapost.policy.dispatch.Job;
import org.wisteriapost.policy.quarantine.PromptParts;
import org.wisteriapost.policy.routing.Organisation;
import org.wisteriapost.policy.routing.Route;
import org.wisteriapost.policy.routing.RouteTable;

/**
 * Admits requests by the declared routes and organisations, or answers them at once. Used
 * by the state thread only.
 *
 * A request that is invalid by a route table that may be stale is refused as not run
 * rather than rejected: see {@link org.wisteriapost.policy.routing.RejectionGuard}.
 */
final class RequestAdmission {

	static final Code TABLE_ABSENT = Code.refusal("table-absent", "The entry does not know the declared routes yet.");

	static final Code EVACUATIONS_UNKNOWN = Code.refusal("evacuations-unknown",
			"The entry does not know yet which failure domains are evacuated.");

	static final Code TABLE_DOUBTFUL = Code.refusal("table-doubtful",
			"The entry's table does not cover the request and may be old.");

	static final Code ROUTE_UNKNOWN = Code.error("route-unknown", "No declared route covers the host and path.");

	static final Code KEY_UNKNOWN = Code.error("key-unknown", "The bearer token is not one of an organisation.");

	static final Code ENTRY_STOPPING = Code.refusal("entry-stopping", "The entry is about to stop.");

	private static final int UNAUTHORIZED = 401;

	private static final int NOT_FOUND = 404;

	private static final long SHORT_RETRY_MILLIS = 300;

	// Another entry can answer at once, so the caller need not wait.
	private static final long IMMEDIATE_RETRY_MILLIS = 20;

	private final SiteView localView;

	private final GracefulShutdown shutdown;

	private final CallOutput output;

	private final DecisionLog log;

	private final DirectMetrics metrics;

	private final UniformRandomProvider random;

	private final BooleanSupplier follower;

	/**
	 * Creates the admission of one entry.
	 * @param follower whether the entry receives its state from a leader, for the log
	 */
	RequestAdmission(SiteView localView, GracefulShutdown shutdown, CallOutput output, DecisionLog log,
			DirectMetrics metrics, UniformRandomProvider random, BooleanSupplier follower) {
		this.localView = localView;
		this.shutdown = shutdown;
		this.output = output;
		this.log = log;
		this.metrics = metrics;
		this.random = random;
		this.follower = follower;
	}

	/**
	 * Returns the job to dispatch, or empty if the request was answered.
	 */
	Optional<Job> admit(IncomingRequest request, long now) {
		this.shutdown.requestArrived(now);
		if (this.localView.routeTable().isEmpty()) {
			return refuse(request, TABLE_ABSENT, SHORT_RETRY_MILLIS, now);
		}
		if (this.localView.routeTableOutdated(now)) {
			return refuse(request, TABLE_DOUBTFUL, SHORT_RETRY_MILLIS, now);
		}
		if (!this.localView.evacuationsKnown()) {
			return refuse(request, EVACUATIONS_UNKNOWN, SHORT_RETRY_MILLIS, now);
		}
		if (this.shutdown.refusesRequests(now)) {
			return refuse(request, ENTRY_STOPPING, IMMEDIATE_RETRY_MILLIS, now);
		}
		RouteTable table = this.localView.routeTable().get();
		Optional<Route> route = table.route(request.host(), request.path());
		if (route.isEmpty()) {
			return reject(request, NOT_FOUND, ROUTE_UNKNOWN, now);
		}
		Optional<Organisation> organisation = request.token().flatMap(table::organisation);
		if (organisation.isEmpty() && table.requiresTokens() && !route.get().anonymous()) {
			return reject(request, UNAUTHORIZED, KEY_UNKNOWN, now);
		}
		return Optional.of(job(request, route.get(), organisation));
	}

	private Job job(IncomingRequest request, Route route, Optional<Organisation> organisation) {
		long timeout = route.timeout().toNanos();
		long remaining = request.fields().remainingMillis().isPresent()
				? TimeUnit.MILLISECONDS.toNanos(request.fields().remainingMillis().getAsLong()) : timeout;
		Job.Size size = new Job.Size(request.fields().promptTokens(), request.fields().maxAnswerTokens(),
				request.fields().expectedAnswerTokens());
		Job.Attempt attempt = new Job.Attempt(request.fields().attemptId().orElseThrow(),
				RequestFingerprint.ofContent(request.path(), organisation, request.body()),
				RequestFingerprint.of(route, organisation, request.fields()), request.fields().lastEventId(),
				PromptParts.of(request.fields().prompt()));
		return Job.create(request.id(), attempt, route, route.selectService(this.random.nextDouble()), organisation,
				size, request.arrivedNanos(), request.arrivedNanos() + Math.min(timeout, remaining));
	}

	private Optional<Job> refuse(IncomingRequest request, Code code, long retryAfterMillis, long now) {
		this.log.failure("refused", "attempt", request.fields().attemptId().orElse(""), "code", code.name(), "table",
				this.localView.routeTableVersion(), "tableAgeMs",
				this.localView.routeTableStalenessMillis(now).orElse(-1));
		this.metrics.answered("refused", code.name());
		this.output.refuse(request, code, retryAfterMillis);
		return Optional.empty();
	}

	private Optional<Job> reject(IncomingRequest request, int status, Code code, long now) {
		if (!this.localView.mayReject(now)) {
			return refuse(request, TABLE_DOUBTFUL, SHORT_RETRY_MILLIS, now);
		}
		this.log.failure("rejected", "attempt", request.fields().attemptId().orElse(""), "code", code.name(), "host",
				request.host(), "path", request.path(), "table", this.localView.routeTableVersion(), "tableAgeMs",
				this.localView.routeTableStalenessMillis(now).orElse(-1), "rests", this.follower.getAsBoolean());
		this.metrics.answered("rejected", code.name());
		this.output.reject(request, status, code);
		return Optional.empty();
	}

}
