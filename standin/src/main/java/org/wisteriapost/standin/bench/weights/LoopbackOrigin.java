package org.wisteriapost.standin.bench.weights;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.wisteriapost.kernel.CodedException;
import org.wisteriapost.protocol.outside.Origin;

/**
 * An origin in this process whose link carries so many bytes a second, one read after the
 * other.
 */
final class LoopbackOrigin implements Origin {

	private static final double NANOS = 1e9;

	private final byte[] content;

	private final double bytesPerSecond;

	private final ScheduledExecutorService timer;

	private final AtomicLong bytesRead = new AtomicLong();

	private long freeAt = System.nanoTime();

	private volatile boolean changed;

	LoopbackOrigin(byte[] content, double bytesPerSecond, ScheduledExecutorService timer) {
		this.content = content;
		this.bytesPerSecond = bytesPerSecond;
		this.timer = timer;
	}

	void change() {
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
		this.freeAt = Math.max(now, this.freeAt) + (long) (length / this.bytesPerSecond * NANOS);
		return this.freeAt - now;
	}

	@Override
	public CompletableFuture<Manifest> manifest(String path) {
		return CompletableFuture.failedFuture(new UnsupportedOperationException());
	}

	@Override
	public void close() {
	}

}
