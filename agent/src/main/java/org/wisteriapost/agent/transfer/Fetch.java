package org.wisteriapost.agent.transfer;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
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
 * Carries out one fetch's effects. Used by the transfer's thread, but for where it says
 * otherwise.
 */
final class Fetch implements PeerLinks.Receiver {

	private static final Logger LOG = System.getLogger(Fetch.class.getName());

	private static final long TICK_MILLIS = 20;

	private final TransferContext context;

	private final TransferThread thread;

	private final TransferMeters meters;

	private final ChunkShelf shelf;

	private final ChunkServer server;

	private final ChunkIndex pieces;

	private final TransferStateMachine machine;

	private final PeerLinks links;

	private final CompletableFuture<Void> result;

	private final Map<Integer, byte[]> arrived = new HashMap<>();

	private final ScheduledFuture<?> ticks;

	private boolean stopped;

	private volatile int verified;

	Fetch(TransferContext context, TransferThread thread, TransferMeters meters, ChunkShelf shelf, ChunkServer server,
			ChunkIndex pieces, TransferLimits limits, CompletableFuture<Void> result) {
		this.context = context;
		this.thread = thread;
		this.meters = meters;
		this.shelf = shelf;
		this.server = server;
		this.pieces = pieces;
		this.result = result;
		long seed = System.nanoTime() ^ context.vm().hashCode();
		this.machine = TransferStateMachine.create(pieces, new Peer(context.vm(), context.place()), limits,
				RandomSource.XO_RO_SHI_RO_128_PP.create(seed), Invariants.create());
		this.links = new PeerLinks(context, thread, meters, pieces, this);
		this.ticks = context.timer()
			.scheduleWithFixedDelay(() -> thread.runIfCalm(() -> event(new TransferEvent.Tick())), TICK_MILLIS,
					TICK_MILLIS, TimeUnit.MILLISECONDS);
	}

	ChunkIndex pieces() {
		return this.pieces;
	}

	/**
	 * Returns how many pieces are verified and stored; for any thread.
	 */
	int verified() {
		return this.verified;
	}

	boolean stopped() {
		return this.stopped;
	}

	void peers(List<VmList.Vm> agents) {
		event(new TransferEvent.PeersChanged(this.links.meet(agents)));
	}

	void start(BitSet held) {
		held.stream().forEach((piece) -> this.shelf.add(this.pieces.digest(piece), this.pieces.indexInFile(piece)));
		event(new TransferEvent.StoreScanned(held));
	}

	void stop() {
		this.stopped = true;
		this.ticks.cancel(false);
		this.links.close();
		this.arrived.clear();
	}

	@Override
	public void event(TransferEvent event) {
		if (this.stopped) {
			return;
		}
		List<TransferEffect> effects = this.machine.apply(event, System.nanoTime());
		this.verified = this.machine.verifiedCount();
		effects.forEach(this::carryOut);
	}

	// Hashed before the machine hears of it: wrong bytes are gone before anything could
	// store them or pass them on.
	@Override
	public void bytes(int piece, String vm, byte[] bytes) {
		this.thread.compute(() -> {
			boolean good = ChunkShelf.matches(bytes, this.pieces.hash(piece));
			this.thread.run(() -> arrive(piece, vm, bytes, good));
		});
	}

	private void arrive(int piece, String source, byte[] bytes, boolean good) {
		if (!good) {
			event(new TransferEvent.Corrupt(piece, source));
			return;
		}
		boolean origin = source.equals(TransferStateMachine.ORIGIN);
		(origin ? this.meters.fromOrigin() : this.meters.fromPeers()).increment(bytes.length);
		this.arrived.put(piece, bytes);
		event(new TransferEvent.Verified(piece, source));
		this.arrived.remove(piece);
	}

	private void carryOut(TransferEffect effect) {
		switch (effect) {
			case TransferEffect.Connect connect -> this.links.connect(connect.vm());
			case TransferEffect.Disconnect disconnect -> this.links.disconnect(disconnect.vm());
			case TransferEffect.Request request -> this.links.request(request);
			case TransferEffect.DiscardParts drop -> this.links.drop(drop.vm(), drop.chunk());
			case TransferEffect.ReadOrigin read -> readOrigin(read.chunk());
			case TransferEffect.Store store -> store(store.chunk(), this.arrived.get(store.chunk()));
			case TransferEffect.Copy copy -> copy(copy.from(), copy.to());
			case TransferEffect.Announce announce -> announce(announce.chunks());
			case TransferEffect.Complete complete -> complete();
			case TransferEffect.VersionChanged changed -> fail(CodedException.of(Origin.CHANGED, at(changed.chunk())));
			case TransferEffect.Fail fail -> fail(CodedException.of(fail.code(), at(fail.chunk())));
			case TransferEffect.Notice notice -> notice(notice);
		}
	}

	private void readOrigin(int piece) {
		long offset = (long) this.pieces.indexInFile(piece) * this.pieces.file(piece).chunkBytes();
		this.context.origin()
			.read(this.pieces.file(piece).path(), this.pieces.file(piece).etag(), offset, this.pieces.length(piece))
			.whenComplete((bytes, failure) -> {
				if (failure == null) {
					bytes(piece, TransferStateMachine.ORIGIN, bytes);
					return;
				}
				boolean changed = cause(failure) instanceof CodedException coded && coded.code().equals(Origin.CHANGED);
				this.thread.run(() -> event(new TransferEvent.OriginReadFailed(piece, changed)));
			});
	}

	private void store(int piece, byte[] bytes) {
		put(this.context.store().put(this.pieces.digest(piece), this.pieces.indexInFile(piece), bytes), piece);
	}

	private void copy(int from, int to) {
		put(this.context.store().get(this.pieces.digest(from), this.pieces.indexInFile(from)).thenCompose((bytes) -> {
			byte[] found = bytes.filter((some) -> ChunkShelf.matches(some, this.pieces.hash(to))).orElseThrow();
			return this.context.store().put(this.pieces.digest(to), this.pieces.indexInFile(to), found);
		}), to);
	}

	private void put(CompletableFuture<Void> put, int piece) {
		put.whenComplete((none, failure) -> this.thread.run(() -> {
			if (failure != null) {
				LOG.log(Level.WARNING, "chunk-not-stored: " + at(piece) + ": " + cause(failure).getMessage());
				event(new TransferEvent.Lost(piece));
				return;
			}
			this.shelf.add(this.pieces.digest(piece), this.pieces.indexInFile(piece));
			event(new TransferEvent.Stored(piece));
		}));
	}

	private void announce(BitSet added) {
		for (int number = 0; number < this.pieces.files().size(); number++) {
			int first = this.pieces.firstChunkOf(number);
			BitSet chunks = added.get(first, first + this.pieces.files().get(number).chunks().size());
			if (!chunks.isEmpty()) {
				this.server.announce(this.pieces.digestOfFile(number), chunks);
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
		this.meters.notices().increment();
		LOG.log(Level.WARNING, notice.code().name() + ": " + notice.source() + ", " + at(notice.chunk()));
	}

	private String at(int piece) {
		return this.pieces.file(piece).path() + " chunk " + this.pieces.indexInFile(piece);
	}

	private static Throwable cause(Throwable failure) {
		return (failure instanceof CompletionException && failure.getCause() != null) ? failure.getCause() : failure;
	}

}
