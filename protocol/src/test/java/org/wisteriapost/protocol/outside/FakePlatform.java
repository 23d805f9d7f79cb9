package org.wisteriapost.protocol.outside;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

import org.wisteriapost.kernel.Code;
import org.wisteriapost.kernel.CodedException;

/**
 * An in-memory platform with fault injection. Watches return at once.
 */
public final class FakePlatform implements Platform {

	private final Map<String, Stored> values = new TreeMap<>();

	private final Map<String, Long> revisions = new TreeMap<>();

	private final List<Fault> faults = new ArrayList<>();

	private final Map<Integer, Runnable> actions = new HashMap<>();

	private long revision;

	private int calls;

	/**
	 * Injects one fault into each of the next calls.
	 */
	public void failNextCalls(Fault... next) {
		this.faults.addAll(List.of(next));
	}

	/**
	 * Runs an action, for example a concurrent write, before the call with this number,
	 * counted from 1.
	 */
	public void beforeCall(int number, Runnable action) {
		this.actions.put(number, action);
	}

	/**
	 * Returns the number of calls received.
	 */
	public int calls() {
		return this.calls;
	}

	@Override
	public CompletableFuture<Optional<Stored>> get(String key) {
		return (fault() == Fault.NONE) ? CompletableFuture.completedFuture(Optional.ofNullable(this.values.get(key)))
				: failed(UNAVAILABLE);
	}

	@Override
	public CompletableFuture<PutResult> put(String key, byte[] value, Precondition expected) {
		return switch (fault()) {
			case NONE -> CompletableFuture.completedFuture(write(key, value, expected));
			case DOWN -> failed(UNAVAILABLE);
			case LOST_AFTER -> {
				write(key, value, expected);
				yield failed(UNCONFIRMED);
			}
			case LOST_BEFORE -> failed(UNCONFIRMED);
		};
	}

	@Override
	public CompletableFuture<Listing> list(String prefix) {
		return watch(prefix, 0, Duration.ZERO);
	}

	@Override
	public CompletableFuture<Listing> watch(String prefix, long afterRevision, Duration wait) {
		if (fault() != Fault.NONE) {
			return failed(UNAVAILABLE);
		}
		List<Stored> items = this.values.values()
			.stream()
			.filter((stored) -> stored.key().startsWith(prefix) && this.revisions.get(stored.key()) > afterRevision)
			.toList();
		return CompletableFuture.completedFuture(new Listing(items, this.revision));
	}

	@Override
	public void close() {
	}

	private PutResult write(String key, byte[] value, Precondition expected) {
		Optional<Stored> current = Optional.ofNullable(this.values.get(key));
		boolean matches = switch (expected) {
			case Precondition.Absent absent -> current.isEmpty();
			case Precondition.Version version ->
				current.filter((one) -> one.version() == version.version()).isPresent();
			case Precondition.Anything anything -> true;
		};
		if (!matches) {
			return new PutResult.Conflict(current);
		}
		long version = current.map(Stored::version).orElse(0L) + 1;
		this.values.put(key, new Stored(key, value.clone(), version));
		this.revisions.put(key, ++this.revision);
		return new PutResult.Written(version);
	}

	private Fault fault() {
		Runnable action = this.actions.remove(++this.calls);
		if (action != null) {
			action.run();
		}
		return this.faults.isEmpty() ? Fault.NONE : this.faults.removeFirst();
	}

	private static <T> CompletableFuture<T> failed(Code code) {
		return CompletableFuture.failedFuture(CodedException.of(code, "fake"));
	}

	/**
	 * The fault of a call.
	 */
	public enum Fault {

		/** No fault. */
		NONE,
		/** The call is rejected without effect. */
		DOWN,
		/** The call takes effect, but its response is lost. */
		LOST_AFTER,
		/** The call has no effect, and its response is lost. */
		LOST_BEFORE

	}

}
