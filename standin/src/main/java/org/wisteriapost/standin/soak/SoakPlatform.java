package org.wisteriapost.standin.soak;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.wisteriapost.kernel.Code;
import org.wisteriapost.kernel.CodedException;
import org.wisteriapost.protocol.outside.Platform;

/**
 * A platform in virtual time that can be unavailable, slow, or lose the confirmations of
 * writes that took effect.
 */
final class SoakPlatform implements Platform {

	private final VirtualTime time;

	private final Map<String, Stored> values = new TreeMap<>();

	private Consumer<Stored> writeListener = (stored) -> {
	};

	private boolean unavailable;

	private long addedLatencyNanos;

	private double lostConfirmationShare;

	private long reads;

	private long writes;

	SoakPlatform(VirtualTime time) {
		this.time = time;
	}

	void setUnavailable(boolean unavailable) {
		this.unavailable = unavailable;
	}

	/**
	 * Sets the listener that receives each write that takes effect.
	 */
	void onWrite(Consumer<Stored> listener) {
		this.writeListener = listener;
	}

	void setAddedLatency(long nanos) {
		this.addedLatencyNanos = nanos;
	}

	void setLostConfirmationShare(double share) {
		this.lostConfirmationShare = share;
	}

	long reads() {
		return this.reads;
	}

	long writes() {
		return this.writes;
	}

	/**
	 * Returns an object without latency or faults.
	 */
	Optional<Stored> getDirectly(String key) {
		return Optional.ofNullable(this.values.get(key));
	}

	/**
	 * Stores an object without latency or faults.
	 */
	void putDirectly(String key, byte[] value) {
		write(key, value, new Precondition.Anything());
	}

	@Override
	public CompletableFuture<Optional<Stored>> get(String key) {
		return read(() -> Optional.ofNullable(this.values.get(key)));
	}

	@Override
	public CompletableFuture<Listing> list(String prefix) {
		return read(() -> new Listing(
				this.values.values().stream().filter((stored) -> stored.key().startsWith(prefix)).toList(), 0));
	}

	@Override
	public CompletableFuture<Listing> watch(String prefix, long afterRevision, Duration wait) {
		return CompletableFuture.completedFuture(new Listing(List.of(), afterRevision));
	}

	@Override
	public CompletableFuture<PutResult> put(String key, byte[] value, Precondition expected) {
		CompletableFuture<PutResult> future = new CompletableFuture<>();
		this.writes++;
		this.time.after(latencyNanos(), () -> {
			if (this.unavailable) {
				// An outage loses the request, or the reply to a write that took
				// effect.
				boolean written = this.time.chance(0.3);
				if (written) {
					write(key, value, expected);
				}
				this.time.after(latencyNanos(),
						() -> future.completeExceptionally(failure(written ? UNCONFIRMED : UNAVAILABLE)));
				return;
			}
			PutResult result = write(key, value, expected);
			boolean confirmed = !this.time.chance(this.lostConfirmationShare);
			this.time.after(latencyNanos(), () -> {
				if (confirmed) {
					future.complete(result);
				}
				else {
					future.completeExceptionally(failure(UNCONFIRMED));
				}
			});
		});
		return future;
	}

	@Override
	public void close() {
	}

	private <T> CompletableFuture<T> read(Supplier<T> lookup) {
		CompletableFuture<T> future = new CompletableFuture<>();
		this.reads++;
		this.time.after(latencyNanos(), () -> {
			if (this.unavailable) {
				future.completeExceptionally(failure(UNAVAILABLE));
				return;
			}
			T found = lookup.get();
			this.time.after(latencyNanos(), () -> future.complete(found));
		});
		return future;
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
		this.writeListener.accept(this.values.get(key));
		return new PutResult.Written(version);
	}

	private long latencyNanos() {
		return this.time.randomBetween(VirtualTime.MILLI / 2, 3 * VirtualTime.MILLI) + this.addedLatencyNanos;
	}

	private static CodedException failure(Code code) {
		return CodedException.of(code, "soak");
	}

}
