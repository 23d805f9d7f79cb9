package org.wisteriapost.agent.transfer;

import java.net.InetSocketAddress;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

import org.wisteriapost.policy.transfer.ChunkIndex;
import org.wisteriapost.policy.transfer.Peer;
import org.wisteriapost.policy.transfer.TransferEffect;
import org.wisteriapost.policy.transfer.TransferEvent;
import org.wisteriapost.protocol.link.Link;
import org.wisteriapost.protocol.link.LinkHandler;
import org.wisteriapost.protocol.outside.VmList;
import org.wisteriapost.protocol.wire.ChunkMap;
import org.wisteriapost.protocol.wire.ChunkMapRequest;
import org.wisteriapost.protocol.wire.ChunkReply;
import org.wisteriapost.protocol.wire.ChunkRequest;
import org.wisteriapost.protocol.wire.ChunkStatus;
import org.wisteriapost.protocol.wire.Frame;

/**
 * The links that this VM makes to fetch chunks for one fetch. Used by the transfer's
 * thread, but for what a link's handler does.
 */
final class PeerLinks {

	private final TransferContext context;

	private final TransferThread thread;

	private final TransferMeters meters;

	private final ChunkIndex pieces;

	private final Receiver receiver;

	private final Map<String, PeerLink> links = new HashMap<>();

	private Map<String, VmList.Vm> addresses = Map.of();

	private long nextId = 1;

	PeerLinks(TransferContext context, TransferThread thread, TransferMeters meters, ChunkIndex pieces,
			Receiver receiver) {
		this.context = context;
		this.thread = thread;
		this.meters = meters;
		this.pieces = pieces;
		this.receiver = receiver;
	}

	/**
	 * Takes the live VMs and returns those that need the same files as this VM.
	 */
	List<Peer> meet(List<VmList.Vm> agents) {
		Map<String, VmList.Vm> known = new HashMap<>();
		agents.forEach((vm) -> known.put(vm.vm(), vm));
		this.addresses = known;
		String service = Optional.ofNullable(known.get(this.context.vm())).map(VmList.Vm::service).orElse("");
		return agents.stream()
			.filter((vm) -> !vm.vm().equals(this.context.vm()) && !vm.leaving())
			.filter((vm) -> service.isEmpty() || vm.service().equals(service))
			.map((vm) -> new Peer(vm.vm(), vm.place()))
			.toList();
	}

	void connect(String vm) {
		VmList.Vm at = this.addresses.get(vm);
		if (at == null) {
			this.receiver.event(new TransferEvent.LinkDown(vm));
			return;
		}
		PeerLink link = new PeerLink(vm);
		this.links.put(vm, link);
		this.context.links().connect(new InetSocketAddress(at.host(), at.linkPort()), link).exceptionally((failure) -> {
			this.thread.run(() -> down(link));
			return null;
		});
	}

	void disconnect(String vm) {
		PeerLink link = this.links.remove(vm);
		if (link != null) {
			link.close();
		}
	}

	void close() {
		List.copyOf(this.links.keySet()).forEach(this::disconnect);
	}

	void request(TransferEffect.Request request) {
		PeerLink link = this.links.get(request.vm());
		if (link != null) {
			link.request(this.nextId++, request);
		}
	}

	/**
	 * Forgets what has come of a piece from a peer.
	 */
	void drop(String vm, int piece) {
		PeerLink link = this.links.get(vm);
		if (link != null) {
			link.parts.remove(piece);
		}
	}

	private void down(PeerLink link) {
		if (this.links.remove(link.vm, link)) {
			this.receiver.event(new TransferEvent.LinkDown(link.vm));
		}
	}

	/**
	 * Hears what peers send.
	 */
	interface Receiver {

		/**
		 * Hears an event, on the transfer's thread.
		 */
		void event(TransferEvent event);

		/**
		 * Hears the bytes of a piece, on any thread.
		 */
		void bytes(int piece, String vm, byte[] bytes);

	}

	/** A piece of which the first bytes have come. */
	private static final class Partial {

		private final byte[] bytes;

		private int come;

		private Partial(byte[] bytes) {
			this.bytes = bytes;
		}

	}

	/**
	 * A request without an answer.
	 *
	 * @param piece of which a part was asked for
	 * @param whole the piece's length in bytes
	 * @param offset where the part begins
	 * @param end where the part ends
	 */
	private record Asked(int piece, int whole, int offset, int end) {

		private Asked all() {
			return new Asked(this.piece, this.whole, 0, this.whole);
		}

	}

	private final class PeerLink implements LinkHandler {

		private final String vm;

		// Requests that the machine gave up on stay here until the link closes: a late
		// answer is still a good piece. Bounded by one entry for each request.
		private final Map<Long, Asked> asked = new ConcurrentHashMap<>();

		// A peer of an older version sends a piece from its start, whatever part is asked
		// for. Each part would cost the whole piece; so it is asked for whole pieces once
		// that shows.
		private volatile boolean knowsNoParts;

		// Pieces of which parts have come.
		private final Map<Integer, Partial> parts = new ConcurrentHashMap<>();

		private volatile Link link;

		private volatile boolean closed;

		private PeerLink(String vm) {
			this.vm = vm;
		}

		@Override
		public void onOpen(Link opened) {
			this.link = opened;
			if (this.closed) {
				opened.close();
				return;
			}
			send(PeerLinks.this.context.frames().get().setHello(PeerLinks.this.context.hello().get()).build());
			for (int number = 0; number < PeerLinks.this.pieces.files().size(); number++) {
				ChunkMapRequest ask = ChunkMapRequest.newBuilder()
					.setId(number)
					.setFile(PeerLinks.this.pieces.digestOfFile(number))
					.build();
				send(PeerLinks.this.context.frames().get().setChunkMapRequest(ask).build());
			}
			tell(new TransferEvent.LinkUp(this.vm));
		}

		@Override
		public void onFrame(Link from, Frame frame) {
			switch (frame.getBodyCase()) {
				case CHUNK_MAP -> map(frame.getChunkMap());
				case CHUNK_REPLY -> reply(frame.getChunkReply());
				default -> PeerLinks.this.context.rest().accept(from, frame);
			}
		}

		@Override
		public void onClosed(Link gone) {
			PeerLinks.this.thread.run(() -> down(this));
		}

		private void request(long id, TransferEffect.Request request) {
			int piece = request.chunk();
			int whole = PeerLinks.this.pieces.length(piece);
			int end = (request.length() == 0) ? whole : request.offset() + request.length();
			Asked part = new Asked(piece, whole, request.offset(), end);
			Asked wanted = this.knowsNoParts ? part.all() : part;
			this.asked.put(id, wanted);
			ChunkRequest ask = ChunkRequest.newBuilder()
				.setId(id)
				.setFile(PeerLinks.this.pieces.digest(piece))
				.setIndex(PeerLinks.this.pieces.indexInFile(piece))
				.setOffset(wanted.offset())
				.setLength((wanted.end() == whole) ? 0 : wanted.end() - wanted.offset())
				.build();
			send(PeerLinks.this.context.frames().get().setChunkRequest(ask).build());
		}

		private void map(ChunkMap map) {
			if (map.getId() < 0 || map.getId() >= PeerLinks.this.pieces.files().size()) {
				return;
			}
			int number = (int) map.getId();
			int size = PeerLinks.this.pieces.files().get(number).chunks().size();
			int first = PeerLinks.this.pieces.firstChunkOf(number);
			BitSet held = new BitSet();
			BitSet.valueOf(map.getBits().toByteArray())
				.stream()
				.filter((index) -> index < size)
				.forEach((index) -> held.set(first + index));
			map.getAddedList()
				.stream()
				.filter((index) -> index >= 0 && index < size)
				.forEach((index) -> held.set(first + index));
			// Who knows the file says how many chunks it has; a change names those added.
			boolean idle = map.getChunks() == 0 && held.isEmpty();
			tell(idle ? new TransferEvent.PeerNotFetching(this.vm) : new TransferEvent.PeerHolds(this.vm, held));
		}

		// An answer counts only for the request it names: what comes late, twice or for
		// another piece is dropped here.
		private void reply(ChunkReply reply) {
			if (reply.getStatus() == ChunkStatus.CHUNK_OK) {
				part(reply);
				return;
			}
			Asked request = this.asked.remove(reply.getId());
			if (request == null) {
				return;
			}
			boolean busy = reply.getStatus() == ChunkStatus.CHUNK_BUSY;
			tell(new TransferEvent.Refused(request.piece(), this.vm, busy));
		}

		// Whether the bytes are right is seen by their hash; here only that they fit.
		private void part(ChunkReply reply) {
			Asked request = this.asked.get(reply.getId());
			if (request == null) {
				return;
			}
			int piece = request.piece();
			int whole = request.whole();
			int end = reply.getOffset() + reply.getData().size();
			if (reply.getLength() != whole || reply.getOffset() < 0 || end > whole) {
				this.asked.remove(reply.getId());
				PeerLinks.this.receiver.bytes(piece, this.vm, reply.getData().toByteArray());
				return;
			}
			if (reply.getOffset() < request.offset()) {
				this.knowsNoParts = true;
				request = request.all();
				this.asked.put(reply.getId(), request);
				this.parts.remove(piece);
			}
			Partial partial = this.parts.computeIfAbsent(piece, (number) -> new Partial(new byte[whole]));
			if (reply.getOffset() > partial.come) {
				// What came before was forgotten meanwhile.
				this.asked.remove(reply.getId());
				tell(new TransferEvent.Refused(piece, this.vm, true));
				return;
			}
			reply.getData().copyTo(partial.bytes, reply.getOffset());
			partial.come = Math.max(partial.come, end);
			if (end < request.end()) {
				return;
			}
			this.asked.remove(reply.getId());
			if (request.end() < whole) {
				tell(new TransferEvent.PartReceived(piece, this.vm, request.end()));
				return;
			}
			this.parts.remove(piece);
			PeerLinks.this.receiver.bytes(piece, this.vm, partial.bytes);
		}

		private void tell(TransferEvent event) {
			PeerLinks.this.thread.run(() -> {
				if (PeerLinks.this.links.get(this.vm) == this) {
					PeerLinks.this.receiver.event(event);
				}
			});
		}

		private void send(Frame frame) {
			Link to = this.link;
			if (to != null) {
				to.send(PeerLinks.this.meters.counted(frame));
			}
		}

		private void close() {
			this.closed = true;
			Link open = this.link;
			if (open != null) {
				open.close();
			}
		}

	}

}
