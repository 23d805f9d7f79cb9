package org.wisteriapost.standin.bench;

import java.io.PrintStream;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.wisteriapost.policy.request.Priority;
import org.wisteriapost.policy.request.Request;
import org.wisteriapost.policy.request.RequestEvent;
import org.wisteriapost.policy.request.RequestStateMachine;
import org.wisteriapost.policy.request.RunnerStatus;

/**
 * Measures the processor time of all decisions for one request, from arrival to end, by
 * number of runners.
 */
public final class DecisionBench implements BenchCommand {

	private static final String SERVICE = "s";

	private static final int REQUESTS = 400_000;

	private static final long UNIT_NANOS = Duration.ofMillis(100).toNanos();

	@Override
	public String name() {
		return "decisions";
	}

	@Override
	public String summary() {
		return "processor time of the request decisions at 10, 640 and 6400 runners";
	}

	@Override
	public int run(List<String> args, PrintStream out) {
		measure(10);
		for (int runners : List.of(10, 640, 6400)) {
			out.printf("{\"runners\":%d,\"requests\":%d,\"nanosPerRequest\":%d}%n", runners, REQUESTS,
					measure(runners));
		}
		return 0;
	}

	/** Keeps half of all slots occupied. */
	private static long measure(int runners) {
		RequestStateMachine machine = RequestStateMachine.create();
		machine.apply(new RequestEvent.HeadRead(1, Map.of(SERVICE, Set.of("d"))), 0);
		for (int i = 0; i < runners; i++) {
			RunnerStatus view = new RunnerStatus("runner-" + i, "p", SERVICE, true, "d", 1, 0, 0, 8, Set.of());
			machine.apply(new RequestEvent.RunnerReported(view), 0);
		}
		long inFlight = runners * 4L;
		long step = UNIT_NANOS / inFlight;
		long startNanos = System.nanoTime();
		for (long id = 1; id <= REQUESTS; id++) {
			long now = id * step;
			machine.apply(new RequestEvent.Arrived(request(id, now)), now);
			machine.apply(new RequestEvent.AnswerCompleted(id - inFlight), now);
		}
		return (System.nanoTime() - startNanos) / REQUESTS;
	}

	private static Request request(long id, long now) {
		return new Request(id, "org-" + id % 10, SERVICE, Priority.NORMAL, now + 20 * UNIT_NANOS, true, id % 1000, 1);
	}

}
