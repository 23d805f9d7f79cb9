package org.wisteriapost.standin.bench.weights;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.wisteriapost.kernel.CodedException;
import org.wisteriapost.protocol.outside.Origin;

/**
 * An in-process origin with a limited bandwidth; reads are served one after another.
 */
final class LoopbackOrigin implements Origin {

	private static final double NANOS_PER_SECOND = 1e9;

	private final byte[] content;

	private final double bytesPerSecond;

	private final ScheduledExecutorService timer;

	private final AtomicLong bytesRead = new AtomicLong();

	private long linkFreeAtNanos = System.nanoTime();

	private volatile boolean changed;

	LoopbackOrigin(byte[] content, double bytesPerSecond, ScheduledExecutorService timer) {
		this.content = content;
		this.bytesPerSecond = bytesPerSecond;
		this.timer = timer;
	}

	void replaceContent() {
		this.changed = true;
	}

	long bytesRead() {
		return this.bytesRead.get();
	}

	@Override
	public CompletableFuture<byte[]> read(String path, String etag, long offset, int length) {
		if (this.changed) {
			return CompletableFuture.failedFuture(CodedException.of(Origin.CHANGED, path));
		}
		this.bytesRead.addAndGet(length);
		CompletableFuture<byte[]> read = new CompletableFuture<>();
		this.timer.schedule(() -> {
			byte[] bytes = new byte[length];
			System.arraycopy(this.content, (int) offset, bytes, 0, length);
			read.complete(bytes);
		}, reserve(length), TimeUnit.NANOSECONDS);
		return read;
	}

	private synchronized long reserve(int length) {
		long now = System.nanoTime();
		this.linkFreeAtNanos = Math.max(now, this.linkFreeAtNanos)
				+ (long) (length / this.bytesPerSecond * NANOS_PER_SECOND);
		return this.linkFreeAtNanos - now;
	}

	@Override
	public CompletableFuture<Manifest> manifest(String path) {
		return CompletableFuture.failedFuture(new UnsupportedOperationException());
	}

	@Override
	public void close() {
	}

}
