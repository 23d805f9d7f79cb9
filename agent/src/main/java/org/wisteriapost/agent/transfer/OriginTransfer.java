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
 * Reads every chunk from the origin, one at a time, and serves none to peers.
 */
final class OriginTransfer implements Transfer {

	private static final Logger LOG = System.getLogger(OriginTransfer.class.getName());

	private static final Code CHUNK_CORRUPT = Code.warning("chunk-corrupt",
			"A chunk's bytes did not match the hash in the bundle; it was dropped and is fetched again.");

	private static final long RETRY_MILLIS = 200;

	private final TransferContext context;

	private final AtomicLong verifiedChunks = new AtomicLong();

	private volatile long totalChunks;

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
		this.verifiedChunks.set(0);
		this.totalChunks = files.stream().mapToLong((file) -> file.chunks().size()).sum();
		CompletableFuture<Void> result = new CompletableFuture<>();
		this.current = result;
		fetchFile(files, 0, result);
		return result;
	}

	private void fetchFile(List<WeightFile> files, int index, CompletableFuture<Void> result) {
		if (index == files.size()) {
			result.complete(null);
			return;
		}
		WeightFile file = files.get(index);
		this.context.store().storedChunks(file.digest()).whenComplete((held, failure) -> {
			if (failure != null) {
				retryUnlessChanged(result, failure, () -> fetchFile(files, index, result));
				return;
			}
			CompletableFuture<Void> fileFetched = new CompletableFuture<>();
			fileFetched.whenComplete((none, broken) -> {
				if (broken != null) {
					result.completeExceptionally(broken);
					return;
				}
				fetchFile(files, index + 1, result);
			});
			fetchChunk(file, held, 0, fileFetched, result);
		});
	}

	private void fetchChunk(WeightFile file, BitSet held, int from, CompletableFuture<Void> fileFetched,
			CompletableFuture<Void> result) {
		int index = held.nextClearBit(from);
		this.verifiedChunks.addAndGet(Math.min(index, file.chunks().size()) - from);
		if (result.isDone() || index >= file.chunks().size()) {
			fileFetched.complete(null);
			return;
		}
		read(file, index).whenComplete((none, failure) -> {
			if (failure != null) {
				retryUnlessChanged(result, failure, () -> fetchChunk(file, held, index, fileFetched, result));
				return;
			}
			this.verifiedChunks.incrementAndGet();
			fetchChunk(file, held, index + 1, fileFetched, result);
		});
	}

	private CompletableFuture<Void> read(WeightFile file, int index) {
		long offset = (long) index * file.chunkBytes();
		return this.context.origin()
			.read(file.path(), file.etag(), offset, file.chunkLength(index))
			.thenCompose((bytes) -> {
				// Hashed before it is stored, so that a chunk corrupted in transit never
				// reaches the engine.
				if (!Digests.sha256(bytes).equals(file.chunks().get(index))) {
					throw CodedException.of(CHUNK_CORRUPT, file.path() + " chunk " + index);
				}
				return this.context.store().put(file.digest(), index, bytes);
			});
	}

	private void retryUnlessChanged(CompletableFuture<Void> result, Throwable failure, Runnable retry) {
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
		CompletableFuture<Boolean> allValid = CompletableFuture.completedFuture(true);
		for (WeightFile file : files) {
			for (int index = 0; index < file.chunks().size(); index++) {
				String hash = file.chunks().get(index);
				allValid = allValid.thenCombine(this.context.store().get(file.digest(), index),
						(good, bytes) -> good && bytes.map((some) -> Digests.sha256(some).equals(hash)).orElse(false));
			}
		}
		return allValid;
	}

	@Override
	public Progress progress() {
		return new Progress(this.verifiedChunks.get(), this.totalChunks);
	}

	@Override
	public void setPeers(List<VmList.Vm> agents) {
	}

	@Override
	public void onFrame(Link link, Frame frame) {
	}

	@Override
	public void onClosed(Link link) {
	}

	@Override
	public void setLateShare(double share) {
	}

	@Override
	public void setIdle(boolean now) {
	}

	@Override
	public void close() {
		this.current.cancel(false);
	}

}
