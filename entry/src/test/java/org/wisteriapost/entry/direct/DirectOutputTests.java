package org.wisteriapost.entry.direct;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.wisteriapost.policy.dispatch.DispatchEffect;
import org.wisteriapost.policy.dispatch.Job;
import org.wisteriapost.policy.fleet.RunnerIncarnation;
import org.wisteriapost.policy.fleet.RunnerInfo;
import org.wisteriapost.policy.routing.Route;
import org.wisteriapost.policy.routing.Route.WeightedService;
import org.wisteriapost.policy.routing.RouteKind;
import org.wisteriapost.protocol.http.PooledHttpClient;
import org.wisteriapost.protocol.site.CallerRequestFields;

import static org.hamcrest.MatcherAssert.assertThat;

class DirectOutputTests {

	private final PooledHttpClient client = PooledHttpClient.create(1);

	private final BlockingQueue<DirectEvent> events = new LinkedBlockingQueue<>();

	private final DirectOutput output = new DirectOutput(this.client, new FleetProtocol(), this.events::add);

	@AfterEach
	void close() {
		this.client.close();
	}

	private static DirectCall call() {
		CallerRequestFields fields = new CallerRequestFields(Optional.of("a"), OptionalLong.empty(), 0, 0,
				OptionalInt.empty(), Optional.empty(), Optional.empty());
		IncomingRequest request = new IncomingRequest(1, "POST", "desk.example", "/s/", "/s/", Map.of(),
				Optional.empty(), fields, new byte[0], null, 0);
		Route route = new Route("s", "desk.example", "/s/", RouteKind.STREAM, Duration.ofSeconds(6),
				Duration.ofMillis(500), 1, List.of(new WeightedService("api", 1)), 2, true, true,
				Duration.ofMillis(400));
		Job.Attempt attempt = new Job.Attempt("a", 1, OptionalLong.empty(), Optional.empty());
		Job job = Job.create(1, attempt, route, "api", Optional.empty(), new Job.Size(0, 0, OptionalInt.empty()),
				System.nanoTime(), System.nanoTime() + route.timeout().toNanos());
		return new DirectCall(request, job);
	}

	private static DispatchEffect.Send second(DirectCall call, RunnerInfo runner, int events) {
		return new DispatchEffect.Send(call.job(), 2, runner, 0, OptionalInt.empty(), false, events,
				Optional.of(new DispatchEffect.Hedged(1, 1000)));
	}

	private void onIoThread(Runnable task) {
		CompletableFuture.runAsync(task, this.client.worker().getIoThread()).join();
	}

	// Guards against a second run that starts on other weights than the answer that the
	// first one has continued since the second was decided on.
	@Test
	void secondDispatchIsNotSentAfterTheFirstHasGoneOn() throws Exception {
		// Connections to this port are refused, which would be reported.
		RunnerInfo runner = new RunnerInfo("r2", "api", "127.0.0.1:1", "p1", 6, false, 0, Map.of(), 1,
				RunnerIncarnation.UNKNOWN);
		DirectCall call = call();
		ResponseForwarder first = new ResponseForwarder(call, 1, runner, new FleetProtocol(), this.events::add,
				this.client.bufferQuota());
		onIoThread(() -> {
			call.addForwarder(1, first);
			call.job().recordEvents(1, Optional.of("1"), System.nanoTime());
		});
		this.output.send(call, second(call, runner, 0));
		assertThat(this.events.poll(5, TimeUnit.SECONDS),
				Matchers.equalTo(new DirectEvent.DispatchSuperseded(call, 2, 1)));
		this.output.send(call, second(call, runner, 1));
		assertThat(this.events.poll(5, TimeUnit.SECONDS), Matchers.instanceOf(DirectEvent.DispatchEnded.class));
	}

	// Guards against a process that exits before the answers that it has decided on are
	// handed to their connections.
	@Test
	void decisionsAreCarriedOutBeforeTheProcessExits() {
		DirectCall call = call();
		RunnerInfo runner = new RunnerInfo("r1", "api", "127.0.0.1:1", "p1", 6, false, 0, Map.of(), 1,
				RunnerIncarnation.UNKNOWN);
		onIoThread(() -> call.addForwarder(1, new ResponseForwarder(call, 1, runner, new FleetProtocol(),
				this.events::add, this.client.bufferQuota())));
		CountDownLatch busy = new CountDownLatch(1);
		this.client.worker().getIoThread().execute(() -> awaitUninterrupted(busy));
		this.output.stop(call, 1);
		CompletableFuture<Void> carriedOut = this.output.carriedOut();
		assertThat(carriedOut.isDone(), Matchers.is(false));
		busy.countDown();
		carriedOut.orTimeout(5, TimeUnit.SECONDS).join();
		assertThat(call.others(2), Matchers.empty());
	}

	private static void awaitUninterrupted(CountDownLatch latch) {
		try {
			latch.await(5, TimeUnit.SECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
