package org.wisteriapost.standin;

import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongFunction;

import org.apache.commons.cli.CommandLine;
import org.wisteriapost.policy.bundle.Bundle;
import org.wisteriapost.policy.bundle.BundleCodec;
import org.wisteriapost.protocol.http.HttpCall;
import org.wisteriapost.protocol.http.PooledHttpClient;
import org.wisteriapost.protocol.outside.Platform;
import org.wisteriapost.protocol.outside.http.HttpPlatform;
import org.wisteriapost.standin.TrafficRecorder.Count;

/**
 * Load generator for both kinds of services. Runs until a stop file exists or the time is
 * over, checks the results against the counts of the stand-ins and prints the totals as
 * one line of JSON.
 */
final class Traffic {

	static final List<String> OPTIONS = List.of("entries", "token", "engines", "plains", "platform", "model", "plain",
			"callers", "think-ms", "stop-file", "seconds");

	private static final Duration TIMEOUT = Duration.ofSeconds(5);

	private static final int MAX_TOKENS = 30;

	private static final int MAX_READ_ATTEMPTS = 5;

	private final CommandLine line;

	private final PooledHttpClient http = PooledHttpClient.create(2);

	private final TrafficRecorder recorder = new TrafficRecorder();

	private final String token;

	private final long endNanos;

	private Traffic(CommandLine line) {
		this.line = line;
		this.token = line.getOptionValue("token", "");
		long seconds = Long.parseLong(line.getOptionValue("seconds", "60"));
		this.endNanos = System.nanoTime() + Duration.ofSeconds(seconds).toNanos();
	}

	static void run(CommandLine line) throws InterruptedException {
		Traffic traffic = new Traffic(line);
		traffic.runClients();
		traffic.verifyResults();
		traffic.recorder.problems().forEach((problem) -> System.err.println("traffic: " + problem));
		System.out.println(new String(Json.write(traffic.recorder.totals()), java.nio.charset.StandardCharsets.UTF_8));
		System.exit(0);
	}

	private void runClients() throws InterruptedException {
		EntryAddressCache entries = new EntryAddressCache(this.http, this.token, addresses("entries"), 1);
		int clients = Integer.parseInt(this.line.getOptionValue("callers", "12"));
		long think = Long.parseLong(this.line.getOptionValue("think-ms", "20"));
		List<Thread> threads = new ArrayList<>();
		for (int i = 0; i < clients; i++) {
			String name = Long.toString(System.currentTimeMillis(), 36) + "-" + i;
			TrafficClient client = new TrafficClient(name, this.http, entries, this.token, this.recorder, i);
			LongFunction<TrafficCall> calls = calls(i, name);
			threads.add(Thread.startVirtualThread(() -> client.run(calls, this::stopped, think)));
		}
		for (Thread thread : threads) {
			while (!thread.join(Duration.ofSeconds(1))) {
				progress();
			}
		}
	}

	private LongFunction<TrafficCall> calls(int client, String name) {
		String model = this.line.getOptionValue("model", "lm-notice");
		String plain = this.line.getOptionValue("plain", "registry-api");
		return switch (client % 4) {
			case 0 -> (i) -> new TrafficCall.Lookup(plain, name + "-" + i);
			case 1 -> (i) -> new TrafficCall.Allocation(plain, System.currentTimeMillis() + "-" + name + "-" + i);
			default -> (i) -> new TrafficCall.Completion(model, "title " + name + " " + i,
					1 + (int) (i * 7 % MAX_TOKENS), i % 4 != 0);
		};
	}

	private boolean stopped() {
		return System.nanoTime() - this.endNanos >= 0 || Optional.ofNullable(this.line.getOptionValue("stop-file"))
			.map(Path::of)
			.filter(Files::exists)
			.isPresent();
	}

	private void progress() {
		System.err.printf("traffic: %d requests, %d answered, %d attempts repeated, %d cut, %d wrong%n",
				this.recorder.total(Count.REQUESTS), this.recorder.total(Count.ANSWERED),
				this.recorder.total(Count.RETRIED), this.recorder.total(Count.CUT),
				this.recorder.total(Count.WRONG) + this.recorder.total(Count.MIXED));
	}

	private void verifyResults() {
		Map<String, Long> executed = new HashMap<>();
		List<PlainServer.Execution> executions = new ArrayList<>();
		List<URI> runners = new ArrayList<>(addresses("engines"));
		runners.addAll(addresses("plains"));
		for (URI runner : runners) {
			Json.tree(read(runner.resolve("/counts")))
				.path("executed")
				.properties()
				.forEach((one) -> executed.merge(one.getKey(), one.getValue().asLong(), Long::sum));
		}
		for (URI plain : addresses("plains")) {
			executions
				.addAll(Arrays.asList(Json.read(read(plain.resolve("/executions")), PlainServer.Execution[].class)));
		}
		this.recorder.checkExecuted(executed);
		this.recorder.checkAllocations(executions);
		if (this.line.hasOption("platform")) {
			this.recorder.checkLabels(acceptedWeights());
		}
	}

	private Set<String> acceptedWeights() {
		Set<String> digests = new HashSet<>();
		Platform platform = HttpPlatform.at(this.http, URI.create(this.line.getOptionValue("platform")));
		for (Platform.Stored stored : platform.list("bundles/").join().items()) {
			Bundle bundle = BundleCodec.bundle(stored.value());
			bundle.services().forEach((spec) -> digests.add(bundle.weightsDigest(spec)));
		}
		return digests;
	}

	private byte[] read(URI target) {
		RuntimeException last = null;
		for (int i = 0; i < MAX_READ_ATTEMPTS; i++) {
			try {
				return this.http.call(HttpCall.of("GET", target, TIMEOUT)).join().body();
			}
			catch (RuntimeException ex) {
				last = ex;
			}
		}
		throw last;
	}

	private List<URI> addresses(String option) {
		String value = this.line.getOptionValue(option, "");
		return value.isEmpty() ? List.of() : Arrays.stream(value.split(",")).map(URI::create).toList();
	}

}
