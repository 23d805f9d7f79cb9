package org.wisteriapost.agent.transfer;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.BitSet;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.wisteriapost.kernel.Code;
import org.wisteriapost.kernel.CodedException;
import org.wisteriapost.policy.bundle.Digests;
import org.wisteriapost.policy.bundle.WeightFile;
import org.wisteriapost.protocol.link.Link;
import org.wisteriapost.protocol.outside.Origin;
import org.wisteriapost.protocol.outside.VmList;
import org.wisteriapost.protocol.wire.Frame;

/**
 * Reads every chunk from the origin, one at a time, and gives none to peers.
 */
final class OriginTransfer implements Transfer {

	private static final Logger LOG = System.getLogger(OriginTransfer.class.getName());

	private static final Code CHUNK_CORRUPT = Code.warning("chunk-corrupt",
			"A chunk's bytes did not match the hash in the bundle; it was dropped and is fetched again.");

	private static final long RETRY_MILLIS = 200;

	private final TransferContext context;

	private final AtomicLong verified = new AtomicLong();

	private volatile long total;

	private volatile CompletableFuture<Void> current = CompletableFuture.completedFuture(null);

	private OriginTransfer(TransferContext context) {
		this.context = context;
	}

	static OriginTransfer of(TransferContext context) {
		return new OriginTransfer(context);
	}

	@Override
	public synchronized CompletableFuture<Void> fetch(List<WeightFile> files) {
		this.current.cancel(false);
		this.verified.set(0);
		this.total = files.stream().mapToLong((file) -> file.chunks().size()).sum();
		CompletableFuture<Void> result = new CompletableFuture<>();
		this.current = result;
		nextFile(files, 0, result);
		return result;
	}

	private void nextFile(List<WeightFile> files, int index, CompletableFuture<Void> result) {
		if (index == files.size()) {
			result.complete(null);
			return;
		}
		WeightFile file = files.get(index);
		this.context.store().held(file.digest()).whenComplete((held, failure) -> {
			if (failure != null) {
				again(result, failure, () -> nextFile(files, index, result));
				return;
			}
			CompletableFuture<Void> whole = new CompletableFuture<>();
			whole.whenComplete((none, broken) -> {
				if (broken != null) {
					result.completeExceptionally(broken);
					return;
				}
				nextFile(files, index + 1, result);
			});
			nextChunk(file, held, 0, whole, result);
		});
	}

	private void nextChunk(WeightFile file, BitSet held, int from, CompletableFuture<Void> whole,
			CompletableFuture<Void> result) {
		int index = held.nextClearBit(from);
		this.verified.addAndGet(Math.min(index, file.chunks().size()) - from);
		if (result.isDone() || index >= file.chunks().size()) {
			whole.complete(null);
			return;
		}
		read(file, index).whenComplete((none, failure) -> {
			if (failure != null) {
				again(result, failure, () -> nextChunk(file, held, index, whole, result));
				return;
			}
			this.verified.incrementAndGet();
			nextChunk(file, held, index + 1, whole, result);
		});
	}

	private CompletableFuture<Void> read(WeightFile file, int index) {
		long offset = (long) index * file.chunkBytes();
		return this.context.origin()
			.read(file.path(), file.etag(), offset, file.chunkLength(index))
			.thenCompose((bytes) -> {
				// A chunk that went bad on the way would be served as weights: hashed
				// before it is stored, it never reaches the engine.
				if (!Digests.sha256(bytes).equals(file.chunks().get(index))) {
					throw CodedException.of(CHUNK_CORRUPT, file.path() + " chunk " + index);
				}
				return this.context.store().put(file.digest(), index, bytes);
			});
	}

	private void again(CompletableFuture<Void> result, Throwable failure, Runnable retry) {
		Throwable cause = (failure instanceof CompletionException && failure.getCause() != null) ? failure.getCause()
				: failure;
		if (cause instanceof CodedException coded && coded.code().equals(Origin.CHANGED)) {
			result.completeExceptionally(cause);
			return;
		}
		LOG.log(Level.WARNING, "chunk-retry: " + cause.getMessage());
		if (!result.isDone()) {
			this.context.timer().schedule(retry, RETRY_MILLIS, TimeUnit.MILLISECONDS);
		}
	}

	@Override
	public CompletableFuture<Boolean> verify(List<WeightFile> files) {
		CompletableFuture<Boolean> all = CompletableFuture.completedFuture(true);
		for (WeightFile file : files) {
			for (int index = 0; index < file.chunks().size(); index++) {
				String hash = file.chunks().get(index);
				all = all.thenCombine(this.context.store().get(file.digest(), index),
						(good, bytes) -> good && bytes.map((some) -> Digests.sha256(some).equals(hash)).orElse(false));
			}
		}
		return all;
	}

	@Override
	public Progress progress() {
		return new Progress(this.verified.get(), this.total);
	}

	@Override
	public void peers(List<VmList.Vm> agents) {
	}

	@Override
	public void onFrame(Link link, Frame frame) {
	}

	@Override
	public void onClosed(Link link) {
	}

	@Override
	public void busy(double share) {
	}

	@Override
	public void idle(boolean now) {
	}

	@Override
	public void close() {
		this.current.cancel(false);
	}

}
