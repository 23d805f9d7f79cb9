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
 * Fetches chunks from peers and, for its own share, from the origin, and serves what it
 * holds.
 */
final class PeerTransfer implements Transfer {

	private static final Code CHUNK_TOO_LARGE = Code.error("chunk-too-large",
			"A weight file's chunks do not fit into a message between peers.");

	private static final int FRAME_HEAD_BYTES = 64 << 10;

	private final TransferContext context;

	private final TransferOptions options;

	private final TransferThread thread = new TransferThread(this::lost);

	private final ChunkShelf shelf = new ChunkShelf();

	private final TransferMeters meters;

	private final ChunkServer server;

	private Optional<List<VmList.Vm>> agents = Optional.empty();

	private Optional<Runnable> waiting = Optional.empty();

	private double lateness;

	private boolean idle;

	private volatile Fetch current;

	private PeerTransfer(TransferContext context, TransferOptions options) {
		this.context = context;
		this.options = options;
		this.meters = TransferMeters.in(context.meters());
		this.server = new ChunkServer(context, this.thread, this.meters, this.shelf, options.uploadsWaiting());
	}

	static PeerTransfer start(TransferContext context, TransferOptions options) {
		PeerTransfer transfer = new PeerTransfer(context, options);
		transfer.busy(0);
		return transfer;
	}

	@Override
	public CompletableFuture<Void> fetch(List<WeightFile> files) {
		CompletableFuture<Void> result = new CompletableFuture<>();
		Optional<WeightFile> large = files.stream()
			.filter((file) -> file.chunkBytes() > Links.MAX_FRAME_BYTES - FRAME_HEAD_BYTES)
			.findFirst();
		if (large.isPresent()) {
			return CompletableFuture.failedFuture(CodedException.of(CHUNK_TOO_LARGE, large.get().path()));
		}
		this.thread.run(() -> begin(ChunkIndex.of(files), result));
		return result;
	}

	private void begin(ChunkIndex pieces, CompletableFuture<Void> result) {
		if (this.current != null) {
			this.current.stop();
		}
		BitSet known = known(pieces);
		for (int number = 0; number < pieces.files().size(); number++) {
			this.shelf.know(pieces.digestOfFile(number), pieces.files().get(number));
			this.server.begun(pieces.digestOfFile(number));
		}
		Fetch fetch = new Fetch(this.context, this.thread, this.meters, this.shelf, this.server, pieces,
				this.options.limits(), result);
		this.current = fetch;
		fetch.event(new TransferEvent.RateSet(rate()));
		result.whenComplete((none, failure) -> {
			if (result.isCancelled()) {
				this.thread.run(fetch::stop);
			}
		});
		ReadBack readBack = new ReadBack(this.context.store(), this.thread, pieces);
		readBack.held(known).thenAccept((found) -> this.thread.run(() -> {
			found.or(known);
			copy(fetch, readBack, found);
		}));
	}

	@Override
	public CompletableFuture<Boolean> verify(List<WeightFile> files) {
		ChunkIndex pieces = ChunkIndex.of(files);
		CompletableFuture<Boolean> result = new CompletableFuture<>();
		new ReadBack(this.context.store(), this.thread, pieces).held(new BitSet())
			.thenAccept((found) -> this.thread.run(() -> {
				for (int piece = found.nextClearBit(0); piece < pieces.count(); piece = found.nextClearBit(piece + 1)) {
					this.shelf.remove(pieces.digest(piece), pieces.indexInFile(piece));
				}
				result.complete(found.cardinality() == pieces.count());
			}));
		return result;
	}

	private BitSet known(ChunkIndex pieces) {
		BitSet known = new BitSet();
		for (int piece = 0; piece < pieces.count(); piece++) {
			known.set(piece, this.shelf.held(pieces.digest(piece)).get(pieces.indexInFile(piece)));
		}
		return known;
	}

	private void copy(Fetch fetch, ReadBack readBack, BitSet held) {
		List<LocalCopyPlanner.Copy> copies = LocalCopyPlanner.plan(fetch.pieces(), this.shelf.all(), held);
		readBack.copy(copies).thenAccept((copied) -> this.thread.run(() -> {
			held.or(copied);
			await(fetch, () -> fetch.start(held));
		}));
	}

	// A VM that has not seen the list believes itself alone and would read a whole copy
	// from the origin: N of them, N copies. It waits for the first list, but not without
	// end: with the list down for long, weights from the origin are better than none.
	private void await(Fetch fetch, Runnable start) {
		if (this.agents.isPresent()) {
			fetch.peers(this.agents.get());
			start.run();
			return;
		}
		this.waiting = Optional.of(start);
		this.context.timer()
			.schedule(() -> this.thread.run(this::startWaiting), this.options.aloneAfter().toMillis(),
					TimeUnit.MILLISECONDS);
	}

	private void startWaiting() {
		Optional<Runnable> start = this.waiting;
		this.waiting = Optional.empty();
		start.ifPresent(Runnable::run);
	}

	@Override
	public Progress progress() {
		Fetch fetch = this.current;
		return (fetch != null) ? new Progress(fetch.verified(), fetch.pieces().count()) : Progress.NONE;
	}

	@Override
	public void peers(List<VmList.Vm> live) {
		this.thread.run(() -> {
			this.agents = Optional.of(List.copyOf(live));
			if (this.current != null) {
				this.current.peers(live);
			}
			startWaiting();
		});
	}

	@Override
	public void onFrame(Link link, Frame frame) {
		this.thread.run(() -> {
			switch (frame.getBodyCase()) {
				case CHUNK_MAP_REQUEST -> this.server.map(link, frame.getChunkMapRequest());
				case CHUNK_REQUEST -> this.server.request(link, frame.getChunkRequest());
				default -> {
				}
			}
		});
	}

	@Override
	public void onClosed(Link link) {
		this.thread.run(() -> this.server.closed(link));
	}

	@Override
	public void busy(double share) {
		this.thread.run(() -> {
			this.lateness = share;
			pace();
		});
	}

	@Override
	public void idle(boolean now) {
		this.thread.run(() -> {
			this.idle = now;
			pace();
		});
	}

	private void pace() {
		this.server.rate(rate());
		if (this.current != null) {
			this.current.event(new TransferEvent.RateSet(rate()));
		}
	}

	private double rate() {
		return this.idle ? this.options.share().idleRate() : this.options.share().rate(this.lateness);
	}

	private void lost(String file, int index) {
		this.shelf.remove(file, index);
		if (this.current == null || this.current.pieces().chunk(file, index).isEmpty()) {
			return;
		}
		if (this.current.stopped()) {
			begin(this.current.pieces(), new CompletableFuture<>());
			return;
		}
		OptionalInt piece = this.current.pieces().chunk(file, index);
		piece.ifPresent((number) -> this.current.event(new TransferEvent.Lost(number)));
	}

	@Override
	public void close() {
		this.thread.run(() -> {
			if (this.current != null) {
				this.current.stop();
			}
		});
		this.thread.close();
	}

}
