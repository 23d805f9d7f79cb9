package org.wisteriapost.policy.request;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.wisteriapost.kernel.Code;

/**
 * Returns for each event the effects that the I/O layer must carry out. Used by one
 * thread.
 *
 * The first, thin version: least loaded runner with accepted weights, no queue, no retry.
 */
public final class RequestMachine {

	private static final Code NO_RUNNER = Code.refusal("no-runner", "No runner with accepted weights takes calls now.");

	private static final Code ANSWER_CUT = Code.error("answer-cut", "A runner's answer ended before it was whole.");

	private static final long RETRY_MILLIS = 1000;

	private final Map<String, RunnerView> runners = new HashMap<>();

	private final Map<Long, Flight> flights = new HashMap<>();

	private Map<String, Set<String>> digests = Map.of();

	private RequestMachine() {
	}

	/**
	 * Returns a machine that knows nothing yet.
	 */
	public static RequestMachine create() {
		return new RequestMachine();
	}

	/**
	 * Applies one event.
	 * @param nowNanos the monotonic clock
	 */
	public List<RequestEffect> apply(RequestEvent event, long nowNanos) {
		List<RequestEffect> effects = new ArrayList<>();
		switch (event) {
			case RequestEvent.Arrived arrived -> arrive(arrived.request(), effects);
			case RequestEvent.Claimed claimed -> dispatch(this.flights.get(claimed.id()), effects);
			case RequestEvent.ClaimLost lost -> this.flights.remove(lost.id());
			case RequestEvent.Started started -> Optional.ofNullable(this.flights.get(started.id()));
			case RequestEvent.Ended ended -> this.flights.remove(ended.id());
			case RequestEvent.Failed failed -> fail(failed, effects);
			case RequestEvent.CallerGone gone -> cancel(gone.id(), effects);
			case RequestEvent.RunnerSeen seen -> this.runners.put(seen.view().runner(), seen.view());
			case RequestEvent.RunnerLost lost -> this.runners.remove(lost.runner());
			case RequestEvent.HeadSeen head -> this.digests = head.digests();
			case RequestEvent.LeavingSeen leaving -> leaving.vms().forEach(this.runners::remove);
			case RequestEvent.Drain drain -> {
			}
			case RequestEvent.Tick tick -> {
			}
		}
		return effects;
	}

	private void arrive(Request request, List<RequestEffect> effects) {
		Flight flight = new Flight(request, "");
		this.flights.put(request.id(), flight);
		if (request.idempotent()) {
			dispatch(flight, effects);
			return;
		}
		effects.add(new RequestEffect.Claim(request.id()));
	}

	private void dispatch(Flight flight, List<RequestEffect> effects) {
		if (flight == null) {
			return;
		}
		Request request = flight.request;
		Set<String> accepted = this.digests.getOrDefault(request.service(), Set.of());
		Optional<RunnerView> chosen = this.runners.values()
			.stream()
			.filter((runner) -> runner.service().equals(request.service()) && runner.admitting())
			.filter((runner) -> accepted.contains(runner.weightsDigest()))
			.min(Comparator.comparingLong((runner) -> load(runner.runner())));
		if (chosen.isEmpty()) {
			this.flights.remove(request.id());
			effects.add(new RequestEffect.Refuse(request.id(), NO_RUNNER.name(), RETRY_MILLIS));
			return;
		}
		RunnerView runner = chosen.get();
		this.flights.put(request.id(), new Flight(request, runner.runner()));
		effects.add(new RequestEffect.Dispatch(request.id(), runner.runner(), runner.weightsDigest()));
	}

	private long load(String runner) {
		return this.flights.values().stream().filter((flight) -> flight.runner.equals(runner)).count();
	}

	private void fail(RequestEvent.Failed failed, List<RequestEffect> effects) {
		if (this.flights.remove(failed.id()) == null) {
			return;
		}
		if (failed.notRun()) {
			effects.add(new RequestEffect.Refuse(failed.id(), failed.code(), RETRY_MILLIS));
			return;
		}
		effects.add(new RequestEffect.GiveUp(failed.id(), ANSWER_CUT.name()));
	}

	private void cancel(long id, List<RequestEffect> effects) {
		Flight flight = this.flights.remove(id);
		if (flight != null && !flight.runner.isEmpty()) {
			effects.add(new RequestEffect.Cancel(id, flight.runner));
		}
	}

	private record Flight(Request request, String runner) {
	}

}
