package org.wisteriapost.standin;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import com.fasterxml.jackson.databind.JsonNode;
import org.wisteriapost.protocol.http.HttpCall;
import org.wisteriapost.protocol.http.HttpCaller;
import org.wisteriapost.protocol.http.HttpReply;

/**
 * The addresses to use, as a careful caller keeps them: asked of any entry, kept as long
 * as the answer says, and one that takes no connection is left out until the next answer.
 */
final class EntryAddresses {

	private static final Duration TIMEOUT = Duration.ofSeconds(2);

	private final HttpCaller caller;

	private final String token;

	private final List<URI> seeds;

	private final Random random;

	private List<URI> named = List.of();

	private long goodUntilNanos;

	EntryAddresses(HttpCaller caller, String token, List<URI> seeds, long seed) {
		this.caller = caller;
		this.token = token;
		this.seeds = List.copyOf(seeds);
		this.random = new Random(seed);
	}

	synchronized URI choose() {
		if (this.named.isEmpty() || System.nanoTime() - this.goodUntilNanos >= 0) {
			ask();
		}
		List<URI> from = this.named.isEmpty() ? this.seeds : this.named;
		return from.get(this.random.nextInt(from.size()));
	}

	synchronized void avoid(URI address) {
		List<URI> others = new ArrayList<>(this.named);
		others.remove(address);
		this.named = others;
	}

	private void ask() {
		List<URI> askable = new ArrayList<>(this.named);
		java.util.Collections.shuffle(askable, this.random);
		askable.addAll(this.seeds);
		for (URI address : askable) {
			try {
				HttpCall call = HttpCall.of("GET", address.resolve("/v1/entries"), TIMEOUT)
					.header("Authorization", "Bearer " + this.token);
				HttpReply reply = this.caller.call(call).join();
				if (reply.status() == 200 && take(Json.tree(reply.body()))) {
					return;
				}
			}
			catch (RuntimeException ex) {
				// The next address is asked.
			}
		}
	}

	private boolean take(JsonNode answer) {
		List<URI> entries = new ArrayList<>();
		answer.path("entries").forEach((entry) -> entries.add(URI.create(entry.asText())));
		this.named = entries;
		this.goodUntilNanos = System.nanoTime() + Duration.ofSeconds(answer.path("keepSeconds").asLong()).toNanos();
		return !entries.isEmpty();
	}

}
