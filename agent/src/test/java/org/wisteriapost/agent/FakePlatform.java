package org.wisteriapost.agent;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

import org.wisteriapost.kernel.CodedException;
import org.wisteriapost.protocol.outside.Platform;

/**
 * In-memory platform that can be made unavailable.
 */
final class FakePlatform implements Platform {

	private final Map<String, Stored> objects = new TreeMap<>();

	private boolean down;

	synchronized void setDown(boolean now) {
		this.down = now;
	}

	synchronized void set(String key, byte[] value) {
		this.objects.put(key, new Stored(key, value, version(key) + 1));
	}

	synchronized Optional<Stored> peek(String key) {
		return Optional.ofNullable(this.objects.get(key));
	}

	@Override
	public synchronized CompletableFuture<Optional<Stored>> get(String key) {
		return this.down ? unavailable() : CompletableFuture.completedFuture(peek(key));
	}

	@Override
	public synchronized CompletableFuture<PutResult> put(String key, byte[] value, Precondition expected) {
		if (this.down) {
			return unavailable();
		}
		boolean conditionMet = switch (expected) {
			case Precondition.Absent absent -> !this.objects.containsKey(key);
			case Precondition.Version version -> version(key) == version.version();
			case Precondition.Anything anything -> true;
		};
		if (!conditionMet) {
			return CompletableFuture.completedFuture(new PutResult.Conflict(peek(key)));
		}
		set(key, value);
		return CompletableFuture.completedFuture(new PutResult.Written(version(key)));
	}

	@Override
	public synchronized CompletableFuture<Listing> list(String prefix) {
		if (this.down) {
			return unavailable();
		}
		List<Stored> items = this.objects.values().stream().filter((one) -> one.key().startsWith(prefix)).toList();
		return CompletableFuture.completedFuture(new Listing(items, 1));
	}

	@Override
	public CompletableFuture<Listing> watch(String prefix, long afterRevision, Duration wait) {
		return new CompletableFuture<>();
	}

	@Override
	public void close() {
		// Nothing to close.
	}

	private long version(String key) {
		return Optional.ofNullable(this.objects.get(key)).map(Stored::version).orElse(0L);
	}

	private static <T> CompletableFuture<T> unavailable() {
		return CompletableFuture.failedFuture(CodedException.of(UNAVAILABLE, "down"));
	}

}
