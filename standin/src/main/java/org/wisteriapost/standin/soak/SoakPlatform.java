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
 * A platform in virtual time that can be down, slow, or lose the answers of writes that
 * took effect.
 */
final class SoakPlatform implements Platform {

	private final VirtualTime time;

	private final Map<String, Stored> values = new TreeMap<>();

	private Consumer<Stored> watcher = (stored) -> {
	};

	private boolean down;

	private long slowNanos;

	private double lost;

	private long reads;

	private long writes;

	SoakPlatform(VirtualTime time) {
		this.time = time;
	}

	void down(boolean now) {
		this.down = now;
	}

	/**
	 * Tells of each write that takes effect.
	 */
	void watched(Consumer<Stored> by) {
		this.watcher = by;
	}

	void slow(long nanos) {
		this.slowNanos = nanos;
	}

	void loses(double share) {
		this.lost = share;
	}

	long reads() {
		return this.reads;
	}

	long writes() {
		return this.writes;
	}

	/**
	 * Returns what stands there, without a call.
	 */
	Optional<Stored> peek(String key) {
		return Optional.ofNullable(this.values.get(key));
	}

	/**
	 * Puts an object there without a call.
	 */
	void set(String key, byte[] value) {
		write(key, value, new Expected.Anything());
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
	public CompletableFuture<PutResult> put(String key, byte[] value, Expected expected) {
		CompletableFuture<PutResult> future = new CompletableFuture<>();
		this.writes++;
		this.time.after(way(), () -> {
			if (this.down) {
				// An outage cuts calls on their way in and on their way out.
				boolean took = this.time.chance(0.3);
				if (took) {
					write(key, value, expected);
				}
				this.time.after(way(), () -> future.completeExceptionally(failure(took ? UNCONFIRMED : UNAVAILABLE)));
				return;
			}
			PutResult result = write(key, value, expected);
			boolean confirmed = !this.time.chance(this.lost);
			this.time.after(way(), () -> {
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

	private <T> CompletableFuture<T> read(Supplier<T> look) {
		CompletableFuture<T> future = new CompletableFuture<>();
		this.reads++;
		this.time.after(way(), () -> {
			if (this.down) {
				future.completeExceptionally(failure(UNAVAILABLE));
				return;
			}
			T found = look.get();
			this.time.after(way(), () -> future.complete(found));
		});
		return future;
	}

	private PutResult write(String key, byte[] value, Expected expected) {
		Optional<Stored> current = Optional.ofNullable(this.values.get(key));
		boolean matches = switch (expected) {
			case Expected.Absent absent -> current.isEmpty();
			case Expected.Version version -> current.filter((one) -> one.version() == version.version()).isPresent();
			case Expected.Anything anything -> true;
		};
		if (!matches) {
			return new PutResult.Conflict(current);
		}
		long version = current.map(Stored::version).orElse(0L) + 1;
		this.values.put(key, new Stored(key, value.clone(), version));
		this.watcher.accept(this.values.get(key));
		return new PutResult.Written(version);
	}

	private long way() {
		return this.time.between(VirtualTime.MILLI / 2, 3 * VirtualTime.MILLI) + this.slowNanos;
	}

	private static CodedException failure(Code code) {
		return CodedException.of(code, "soak");
	}

}
