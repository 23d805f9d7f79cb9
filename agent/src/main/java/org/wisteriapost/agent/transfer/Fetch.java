package org.wisteriapost.agent.transfer;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

import org.apache.commons.rng.simple.RandomSource;
import org.wisteriapost.kernel.CodedException;
import org.wisteriapost.kernel.Invariants;
import org.wisteriapost.policy.transfer.ChunkIndex;
import org.wisteriapost.policy.transfer.Peer;
import org.wisteriapost.policy.transfer.TransferEffect;
import org.wisteriapost.policy.transfer.TransferEvent;
import org.wisteriapost.policy.transfer.TransferLimits;
import org.wisteriapost.policy.transfer.TransferStateMachine;
import org.wisteriapost.protocol.outside.Origin;
import org.wisteriapost.protocol.outside.VmList;

/**
 * Executes the effects of one fetch's {@link TransferStateMachine}. Confined to the
 * transfer thread unless a method says otherwise.
 */
final class Fetch implements PeerLinks.Receiver {

	private static final Logger LOG = System.getLogger(Fetch.class.getName());

	private static final long TICK_MILLIS = 20;

	private final TransferContext context;

	private final TransferThread thread;

	private final TransferMetrics metrics;

	private final VerifiedChunks verifiedChunks;

	private final ChunkServer server;

	private final ChunkIndex chunks;

	private final TransferStateMachine stateMachine;

	private final PeerLinks links;

	private final CompletableFuture<Void> result;

	private final Map<Integer, byte[]> unstoredChunks = new HashMap<>();

	private final ScheduledFuture<?> tickTimer;

	private final Set<CompletableFuture<?>> openPuts = ConcurrentHashMap.newKeySet();

	private boolean stopped;

	private volatile int verifiedCount;

	Fetch(TransferContext context, TransferThread thread, TransferMetrics metrics, VerifiedChunks verifiedChunks,
			ChunkServer server, ChunkIndex chunks, TransferLimits limits, CompletableFuture<Void> result) {
		this.context = context;
		this.thread = thread;
		this.metrics = metrics;
		this.verifiedChunks = verifiedChunks;
		this.server = server;
		this.chunks = chunks;
		this.result = result;
		long seed = System.nanoTime() ^ context.vm().hashCode();
		this.stateMachine = TransferStateMachine.create(chunks, new Peer(context.vm(), context.failureDomain()), limits,
				RandomSource.XO_RO_SHI_RO_128_PP.create(seed), Invariants.create());
		this.links = new PeerLinks(context, thread, metrics, chunks, this);
		this.tickTimer = context.timer()
			.scheduleWithFixedDelay(() -> thread.tryExecute(() -> event(new TransferEvent.Tick())), TICK_MILLIS,
					TICK_MILLIS, TimeUnit.MILLISECONDS);
	}

	ChunkIndex chunks() {
		return this.chunks;
	}

	/**
	 * Returns how many chunks are verified and stored. Safe for use by any thread.
	 */
	int verifiedCount() {
		return this.verifiedCount;
	}

	boolean stopped() {
		return this.stopped;
	}

	void updatePeers(List<VmList.Vm> agents) {
		event(new TransferEvent.PeersChanged(this.links.updatePeers(agents)));
	}

	void start(BitSet held) {
		held.stream()
			.forEach((chunk) -> this.verifiedChunks.add(this.chunks.digest(chunk), this.chunks.indexInFile(chunk)));
		event(new TransferEvent.StoreScanned(held));
	}

	void stop() {
		this.stopped = true;
		this.tickTimer.cancel(false);
		this.links.close();
		this.unstoredChunks.clear();
	}

	/**
	 * Records puts to the store that belong to this fetch.
	 * @param ended completes when they have succeeded or failed
	 */
	void putsStarted(CompletableFuture<?> ended) {
		this.openPuts.add(ended);
		ended.whenComplete((result, failure) -> this.openPuts.remove(ended));
	}

	/**
	 * Completes when every put that was sent has succeeded or failed.
	 */
	CompletableFuture<Void> putsEnded() {
		return CompletableFuture.allOf(this.openPuts.stream()
			.map((put) -> put.exceptionally((failure) -> null))
			.toArray(CompletableFuture[]::new));
	}

	@Override
	public void event(TransferEvent event) {
		if (this.stopped) {
			return;
		}
		List<TransferEffect> effects = this.stateMachine.apply(event, System.nanoTime());
		this.verifiedCount = this.stateMachine.verifiedCount();
		effects.forEach(this::execute);
	}

	// Hashes the chunk before the state machine receives it, so that corrupt bytes are
	// neither stored nor sent to peers.
	@Override
	public void chunkReceived(int chunk, String vm, byte[] bytes) {
		this.thread.executeHashing(() -> {
			boolean valid = VerifiedChunks.matches(bytes, this.chunks.hash(chunk));
			this.thread.execute(() -> chunkHashed(chunk, vm, bytes, valid));
		});
	}

	private void chunkHashed(int chunk, String source, byte[] bytes, boolean valid) {
		if (!valid) {
			event(new TransferEvent.Corrupt(chunk, source));
			return;
		}
		boolean origin = source.equals(TransferStateMachine.ORIGIN);
		(origin ? this.metrics.bytesFromOrigin() : this.metrics.bytesFromPeers()).increment(bytes.length);
		this.unstoredChunks.put(chunk, bytes);
		event(new TransferEvent.Verified(chunk, source));
		this.unstoredChunks.remove(chunk);
	}

	private void execute(TransferEffect effect) {
		switch (effect) {
			case TransferEffect.Connect connect -> this.links.connect(connect.vm());
			case TransferEffect.Disconnect disconnect -> this.links.disconnect(disconnect.vm());
			case TransferEffect.Request request -> this.links.request(request);
			case TransferEffect.DiscardParts drop -> this.links.discardParts(drop.vm(), drop.chunk());
			case TransferEffect.ReadOrigin read -> readOrigin(read.chunk());
			case TransferEffect.Store store -> store(store.chunk(), this.unstoredChunks.get(store.chunk()));
			case TransferEffect.Copy copy -> copy(copy.from(), copy.to());
			case TransferEffect.Announce announce -> announce(announce.chunks());
			case TransferEffect.Complete complete -> complete();
			case TransferEffect.VersionChanged changed ->
				fail(CodedException.of(Origin.CHANGED, describe(changed.chunk())));
			case TransferEffect.Fail fail -> fail(CodedException.of(fail.code(), describe(fail.chunk())));
			case TransferEffect.Notice notice -> notice(notice);
		}
	}

	private void readOrigin(int chunk) {
		long offset = (long) this.chunks.indexInFile(chunk) * this.chunks.file(chunk).chunkBytes();
		this.context.origin()
			.read(this.chunks.file(chunk).path(), this.chunks.file(chunk).etag(), offset, this.chunks.length(chunk))
			.whenComplete((bytes, failure) -> {
				if (failure == null) {
					chunkReceived(chunk, TransferStateMachine.ORIGIN, bytes);
					return;
				}
				boolean changed = cause(failure) instanceof CodedException coded && coded.code().equals(Origin.CHANGED);
				this.thread.execute(() -> event(new TransferEvent.OriginReadFailed(chunk, changed)));
			});
	}

	private void store(int chunk, byte[] bytes) {
		completeStore(this.context.store().put(this.chunks.digest(chunk), this.chunks.indexInFile(chunk), bytes),
				chunk);
	}

	private void copy(int from, int to) {
		completeStore(this.context.store()
			.get(this.chunks.digest(from), this.chunks.indexInFile(from))
			.thenCompose((bytes) -> {
				byte[] found = bytes.filter((some) -> VerifiedChunks.matches(some, this.chunks.hash(to))).orElseThrow();
				return this.context.store().put(this.chunks.digest(to), this.chunks.indexInFile(to), found);
			}), to);
	}

	private void completeStore(CompletableFuture<Void> put, int chunk) {
		putsStarted(put);
		put.whenComplete((none, failure) -> this.thread.execute(() -> {
			if (failure != null) {
				LOG.log(Level.WARNING, "chunk-not-stored: " + describe(chunk) + ": " + cause(failure).getMessage());
				event(new TransferEvent.Lost(chunk));
				return;
			}
			this.verifiedChunks.add(this.chunks.digest(chunk), this.chunks.indexInFile(chunk));
			event(new TransferEvent.Stored(chunk));
		}));
	}

	private void announce(BitSet added) {
		for (int fileNumber = 0; fileNumber < this.chunks.files().size(); fileNumber++) {
			int firstChunk = this.chunks.firstChunkOf(fileNumber);
			BitSet addedToFile = added.get(firstChunk,
					firstChunk + this.chunks.files().get(fileNumber).chunks().size());
			if (!addedToFile.isEmpty()) {
				this.server.announce(this.chunks.digestOfFile(fileNumber), addedToFile);
			}
		}
	}

	private void complete() {
		stop();
		this.result.complete(null);
	}

	private void fail(CodedException failure) {
		LOG.log(Level.ERROR, failure.getMessage());
		stop();
		this.result.completeExceptionally(failure);
	}

	private void notice(TransferEffect.Notice notice) {
		this.metrics.notices().increment();
		LOG.log(Level.WARNING, notice.code().name() + ": " + notice.source() + ", " + describe(notice.chunk()));
	}

	private String describe(int chunk) {
		return this.chunks.file(chunk).path() + " chunk " + this.chunks.indexInFile(chunk);
	}

	private static Throwable cause(Throwable failure) {
		return (failure instanceof CompletionException && failure.getCause() != null) ? failure.getCause() : failure;
	}

}
