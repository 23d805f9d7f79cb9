package org.wisteriapost.standin;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import com.fasterxml.jackson.databind.JsonNode;
import org.wisteriapost.protocol.http.HttpCall;
import org.wisteriapost.protocol.http.HttpResponse;
import org.wisteriapost.protocol.http.PooledHttpClient;

/**
 * Caches the advertised entry addresses as a well-behaved client does: fetched from any
 * entry and kept for the period that the response states. An address that refuses
 * connections is excluded until the next refresh.
 */
final class EntryAddressCache {

	private static final Duration TIMEOUT = Duration.ofSeconds(2);

	private final PooledHttpClient caller;

	private final String token;

	private final List<URI> seeds;

	private final Random random;

	private List<URI> advertised = List.of();

	private long expiresAtNanos;

	EntryAddressCache(PooledHttpClient caller, String token, List<URI> seeds, long seed) {
		this.caller = caller;
		this.token = token;
		this.seeds = List.copyOf(seeds);
		this.random = new Random(seed);
	}

	synchronized URI choose() {
		if (this.advertised.isEmpty() || System.nanoTime() - this.expiresAtNanos >= 0) {
			refresh();
		}
		List<URI> from = this.advertised.isEmpty() ? this.seeds : this.advertised;
		return from.get(this.random.nextInt(from.size()));
	}

	synchronized void exclude(URI address) {
		List<URI> others = new ArrayList<>(this.advertised);
		others.remove(address);
		this.advertised = others;
	}

	private void refresh() {
		List<URI> candidates = new ArrayList<>(this.advertised);
		java.util.Collections.shuffle(candidates, this.random);
		candidates.addAll(this.seeds);
		for (URI address : candidates) {
			try {
				HttpCall call = HttpCall.of("GET", address.resolve("/v1/entries"), TIMEOUT)
					.header("Authorization", "Bearer " + this.token);
				HttpResponse reply = this.caller.call(call).join();
				if (reply.status() == 200 && update(Json.tree(reply.body()))) {
					return;
				}
			}
			catch (RuntimeException ex) {
				// Try the next address.
			}
		}
	}

	private boolean update(JsonNode response) {
		List<URI> entries = new ArrayList<>();
		response.path("entries").forEach((entry) -> entries.add(URI.create(entry.asText())));
		this.advertised = entries;
		this.expiresAtNanos = System.nanoTime() + Duration.ofSeconds(response.path("keepSeconds").asLong()).toNanos();
		return !entries.isEmpty();
	}

}
