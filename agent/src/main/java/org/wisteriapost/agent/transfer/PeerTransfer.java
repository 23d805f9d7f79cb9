package org.wisteriapost.agent.transfer;

import java.util.BitSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.wisteriapost.kernel.Code;
import org.wisteriapost.kernel.CodedException;
import org.wisteriapost.policy.bundle.WeightFile;
import org.wisteriapost.policy.transfer.ChunkIndex;
import org.wisteriapost.policy.transfer.LocalCopyPlanner;
import org.wisteriapost.policy.transfer.TransferEvent;
import org.wisteriapost.protocol.link.Link;
import org.wisteriapost.protocol.link.Links;
import org.wisteriapost.protocol.outside.VmList;
import org.wisteriapost.protocol.wire.Frame;

/**
 * Fetches chunks from peers and, for the share assigned to this VM, from the origin, and
 * serves verified chunks to peers.
 */
final class PeerTransfer implements Transfer {

	private static final Code CHUNK_TOO_LARGE = Code.error("chunk-too-large",
			"A weight file's chunks do not fit into a message between peers.");

	private static final int FRAME_OVERHEAD_BYTES = 64 << 10;

	private final TransferContext context;

	private final TransferOptions options;

	private final TransferThread thread = new TransferThread(this::chunkLost);

	private final VerifiedChunks verifiedChunks = new VerifiedChunks();

	private final TransferMetrics metrics;

	private final ChunkServer server;

	private Optional<List<VmList.Vm>> agents = Optional.empty();

	private Optional<Runnable> pendingStart = Optional.empty();

	private double lateShare;

	private boolean idle;

	private volatile Fetch current;

	private PeerTransfer(TransferContext context, TransferOptions options) {
		this.context = context;
		this.options = options;
		this.metrics = TransferMetrics.create(context.meterRegistry());
		this.server = new ChunkServer(context, this.thread, this.metrics, this.verifiedChunks,
				options.maxQueuedUploads());
	}

	static PeerTransfer start(TransferContext context, TransferOptions options) {
		PeerTransfer transfer = new PeerTransfer(context, options);
		transfer.setLateShare(0);
		return transfer;
	}

	@Override
	public CompletableFuture<Void> fetch(List<WeightFile> files) {
		CompletableFuture<Void> result = new CompletableFuture<>();
		Optional<WeightFile> oversized = files.stream()
			.filter((file) -> file.chunkBytes() > Links.MAX_FRAME_BYTES - FRAME_OVERHEAD_BYTES)
			.findFirst();
		if (oversized.isPresent()) {
			return CompletableFuture.failedFuture(CodedException.of(CHUNK_TOO_LARGE, oversized.get().path()));
		}
		this.thread.execute(() -> startFetch(ChunkIndex.of(files), result));
		return result;
	}

	private void startFetch(ChunkIndex chunks, CompletableFuture<Void> result) {
		CompletableFuture<Void> previousPuts = CompletableFuture.completedFuture(null);
		if (this.current != null) {
			this.current.stop();
			previousPuts = this.current.putsEnded();
		}
		BitSet verified = alreadyVerified(chunks);
		for (int fileNumber = 0; fileNumber < chunks.files().size(); fileNumber++) {
			this.verifiedChunks.addFile(chunks.digestOfFile(fileNumber), chunks.files().get(fileNumber));
			this.server.fetchStarted(chunks.digestOfFile(fileNumber));
		}
		Fetch fetch = new Fetch(this.context, this.thread, this.metrics, this.verifiedChunks, this.server, chunks,
				this.options.limits(), result);
		this.current = fetch;
		fetch.event(new TransferEvent.RateSet(rate()));
		result.whenComplete((none, failure) -> {
			if (result.isCancelled()) {
				this.thread.execute(fetch::stop);
			}
		});
		// A late put of the previous fetch would overwrite a chunk of this one after its
		// verification.
		previousPuts.thenRun(() -> this.thread.execute(() -> scanStore(fetch, verified)));
	}

	private void scanStore(Fetch fetch, BitSet verified) {
		if (fetch.stopped()) {
			return;
		}
		StoreScanner scanner = new StoreScanner(this.context.store(), this.thread, fetch.chunks());
		scanner.findValidChunks(verified).thenAccept((found) -> this.thread.execute(() -> {
			found.or(verified);
			copyFromOtherFiles(fetch, scanner, found);
		}));
	}

	@Override
	public CompletableFuture<Boolean> verify(List<WeightFile> files) {
		ChunkIndex chunks = ChunkIndex.of(files);
		CompletableFuture<Boolean> result = new CompletableFuture<>();
		new StoreScanner(this.context.store(), this.thread, chunks).findValidChunks(new BitSet())
			.thenAccept((found) -> this.thread.execute(() -> {
				for (int chunk = found.nextClearBit(0); chunk < chunks.count(); chunk = found.nextClearBit(chunk + 1)) {
					this.verifiedChunks.remove(chunks.digest(chunk), chunks.indexInFile(chunk));
				}
				result.complete(found.cardinality() == chunks.count());
			}));
		return result;
	}

	private BitSet alreadyVerified(ChunkIndex chunks) {
		BitSet verified = new BitSet();
		if (!this.context.store().isolatesFiles()) {
			return verified;
		}
		for (int chunk = 0; chunk < chunks.count(); chunk++) {
			verified.set(chunk, this.verifiedChunks.chunks(chunks.digest(chunk)).get(chunks.indexInFile(chunk)));
		}
		return verified;
	}

	private void copyFromOtherFiles(Fetch fetch, StoreScanner scanner, BitSet held) {
		if (fetch.stopped()) {
			return;
		}
		List<LocalCopyPlanner.Copy> copies = LocalCopyPlanner.plan(fetch.chunks(), this.verifiedChunks.files(), held);
		CompletableFuture<BitSet> copying = scanner.copy(copies);
		fetch.putsStarted(copying);
		copying.thenAccept((copied) -> this.thread.execute(() -> {
			held.or(copied);
			startWhenPeersKnown(fetch, () -> fetch.start(held));
		}));
	}

	// Without a VM list a VM knows no peers and would read all weights from the origin: N
	// starting VMs would read N copies. So the fetch waits for the first list, but only
	// up to a timeout, so that weights still arrive while the list is unavailable.
	private void startWhenPeersKnown(Fetch fetch, Runnable start) {
		if (this.agents.isPresent()) {
			fetch.updatePeers(this.agents.get());
			start.run();
			return;
		}
		this.pendingStart = Optional.of(start);
		this.context.timer()
			.schedule(() -> this.thread.execute(this::startPendingFetch), this.options.vmListTimeout().toMillis(),
					TimeUnit.MILLISECONDS);
	}

	private void startPendingFetch() {
		Optional<Runnable> start = this.pendingStart;
		this.pendingStart = Optional.empty();
		start.ifPresent(Runnable::run);
	}

	@Override
	public Progress progress() {
		Fetch fetch = this.current;
		return (fetch != null) ? new Progress(fetch.verifiedCount(), fetch.chunks().count()) : Progress.NONE;
	}

	@Override
	public void setPeers(List<VmList.Vm> liveAgents) {
		this.thread.execute(() -> {
			this.agents = Optional.of(List.copyOf(liveAgents));
			if (this.current != null) {
				this.current.updatePeers(liveAgents);
			}
			startPendingFetch();
		});
	}

	@Override
	public void onFrame(Link link, Frame frame) {
		this.thread.execute(() -> {
			switch (frame.getBodyCase()) {
				case CHUNK_MAP_REQUEST -> this.server.subscribe(link, frame.getChunkMapRequest());
				case CHUNK_REQUEST -> this.server.handleRequest(link, frame.getChunkRequest());
				default -> {
				}
			}
		});
	}

	@Override
	public void onClosed(Link link) {
		this.thread.execute(() -> this.server.linkClosed(link));
	}

	@Override
	public void setLateShare(double share) {
		this.thread.execute(() -> {
			this.lateShare = share;
			updateRate();
		});
	}

	@Override
	public void setIdle(boolean now) {
		this.thread.execute(() -> {
			this.idle = now;
			updateRate();
		});
	}

	private void updateRate() {
		this.server.setRate(rate());
		if (this.current != null) {
			this.current.event(new TransferEvent.RateSet(rate()));
		}
	}

	private double rate() {
		return this.idle ? this.options.linkShare().idleRate() : this.options.linkShare().rate(this.lateShare);
	}

	private void chunkLost(String file, int index) {
		this.verifiedChunks.remove(file, index);
		if (this.current == null || this.current.chunks().chunk(file, index).isEmpty()) {
			return;
		}
		if (this.current.stopped()) {
			startFetch(this.current.chunks(), new CompletableFuture<>());
			return;
		}
		OptionalInt chunk = this.current.chunks().chunk(file, index);
		chunk.ifPresent((found) -> this.current.event(new TransferEvent.Lost(found)));
	}

	@Override
	public void close() {
		this.thread.execute(() -> {
			if (this.current != null) {
				this.current.stop();
			}
		});
		this.thread.close();
	}

}
