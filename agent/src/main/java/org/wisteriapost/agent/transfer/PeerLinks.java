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
 * Links that this VM opens to peers for one fetch. Confined to the transfer thread,
 * except for the callbacks of a link's handler.
 */
final class PeerLinks {

	private final TransferContext context;

	private final TransferThread thread;

	private final TransferMetrics metrics;

	private final ChunkIndex chunks;

	private final Receiver receiver;

	private final Map<String, PeerLink> links = new HashMap<>();

	private Map<String, VmList.Vm> agents = Map.of();

	private long nextId = 1;

	PeerLinks(TransferContext context, TransferThread thread, TransferMetrics metrics, ChunkIndex chunks,
			Receiver receiver) {
		this.context = context;
		this.thread = thread;
		this.metrics = metrics;
		this.chunks = chunks;
		this.receiver = receiver;
	}

	/**
	 * Sets the live agents and returns those that need the same files as this VM.
	 */
	List<Peer> updatePeers(List<VmList.Vm> agents) {
		Map<String, VmList.Vm> byVm = new HashMap<>();
		agents.forEach((vm) -> byVm.put(vm.vm(), vm));
		this.agents = byVm;
		String service = Optional.ofNullable(byVm.get(this.context.vm())).map(VmList.Vm::service).orElse("");
		return agents.stream()
			.filter((vm) -> !vm.vm().equals(this.context.vm()) && !vm.leaving())
			.filter((vm) -> service.isEmpty() || vm.service().equals(service))
			.map((vm) -> new Peer(vm.vm(), vm.place()))
			.toList();
	}

	void connect(String vm) {
		VmList.Vm agent = this.agents.get(vm);
		if (agent == null) {
			this.receiver.event(new TransferEvent.LinkDown(vm));
			return;
		}
		PeerLink link = new PeerLink(vm);
		this.links.put(vm, link);
		this.context.links()
			.connect(new InetSocketAddress(agent.host(), agent.linkPort()), link)
			.exceptionally((failure) -> {
				this.thread.execute(() -> linkDown(link));
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
	 * Discards the parts of a chunk that were received from a peer.
	 */
	void discardParts(String vm, int chunk) {
		PeerLink link = this.links.get(vm);
		if (link != null) {
			link.partialChunks.remove(chunk);
		}
	}

	private void linkDown(PeerLink link) {
		if (this.links.remove(link.vm, link)) {
			this.receiver.event(new TransferEvent.LinkDown(link.vm));
		}
	}

	/**
	 * Receives events and chunks from peers.
	 */
	interface Receiver {

		/**
		 * Called on the transfer thread.
		 */
		void event(TransferEvent event);

		/**
		 * Receives all bytes of a chunk, not yet verified. Called on any thread.
		 */
		void chunkReceived(int chunk, String vm, byte[] bytes);

	}

	/** A chunk of which the first bytes have been received. */
	private static final class PartialChunk {

		private final byte[] bytes;

		private int receivedBytes;

		private PartialChunk(byte[] bytes) {
			this.bytes = bytes;
		}

	}

	/**
	 * A request for a part of a chunk that has not been answered in full.
	 *
	 * @param chunk the chunk
	 * @param chunkLength length of the whole chunk in bytes
	 * @param offset start of the part, inclusive
	 * @param end end of the part, exclusive
	 */
	private record PendingRequest(int chunk, int chunkLength, int offset, int end) {

		private PendingRequest wholeChunk() {
			return new PendingRequest(this.chunk, this.chunkLength, 0, this.chunkLength);
		}

	}

	private final class PeerLink implements LinkHandler {

		private final String vm;

		// Requests that timed out in the state machine stay here until the link closes,
		// since a late reply is still a usable chunk. At most one entry a request.
		private final Map<Long, PendingRequest> pendingRequests = new ConcurrentHashMap<>();

		// A peer of an older version ignores the offset and sends the whole chunk. Each
		// requested part would cost a whole chunk, so once that is detected only whole
		// chunks are requested from it.
		private volatile boolean ignoresParts;

		private final Map<Integer, PartialChunk> partialChunks = new ConcurrentHashMap<>();

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
			send(PeerLinks.this.context.frameFactory()
				.get()
				.setHello(PeerLinks.this.context.helloFactory().get())
				.build());
			for (int fileNumber = 0; fileNumber < PeerLinks.this.chunks.files().size(); fileNumber++) {
				ChunkMapRequest request = ChunkMapRequest.newBuilder()
					.setId(fileNumber)
					.setFile(PeerLinks.this.chunks.digestOfFile(fileNumber))
					.build();
				send(PeerLinks.this.context.frameFactory().get().setChunkMapRequest(request).build());
			}
			notifyReceiver(new TransferEvent.LinkUp(this.vm));
		}

		@Override
		public void onFrame(Link from, Frame frame) {
			switch (frame.getBodyCase()) {
				case CHUNK_MAP -> handleChunkMap(frame.getChunkMap());
				case CHUNK_REPLY -> handleReply(frame.getChunkReply());
				default -> PeerLinks.this.context.otherFrameHandler().accept(from, frame);
			}
		}

		@Override
		public void onClosed(Link closedLink) {
			PeerLinks.this.thread.execute(() -> linkDown(this));
		}

		private void request(long id, TransferEffect.Request request) {
			int chunk = request.chunk();
			int chunkLength = PeerLinks.this.chunks.length(chunk);
			int end = (request.length() == 0) ? chunkLength : request.offset() + request.length();
			PendingRequest part = new PendingRequest(chunk, chunkLength, request.offset(), end);
			PendingRequest pending = this.ignoresParts ? part.wholeChunk() : part;
			this.pendingRequests.put(id, pending);
			ChunkRequest message = ChunkRequest.newBuilder()
				.setId(id)
				.setFile(PeerLinks.this.chunks.digest(chunk))
				.setIndex(PeerLinks.this.chunks.indexInFile(chunk))
				.setOffset(pending.offset())
				.setLength((pending.end() == chunkLength) ? 0 : pending.end() - pending.offset())
				.build();
			send(PeerLinks.this.context.frameFactory().get().setChunkRequest(message).build());
		}

		private void handleChunkMap(ChunkMap map) {
			if (map.getId() < 0 || map.getId() >= PeerLinks.this.chunks.files().size()) {
				return;
			}
			int fileNumber = (int) map.getId();
			int chunkCount = PeerLinks.this.chunks.files().get(fileNumber).chunks().size();
			int firstChunk = PeerLinks.this.chunks.firstChunkOf(fileNumber);
			BitSet held = new BitSet();
			BitSet.valueOf(map.getBits().toByteArray())
				.stream()
				.filter((index) -> index < chunkCount)
				.forEach((index) -> held.set(firstChunk + index));
			map.getAddedList()
				.stream()
				.filter((index) -> index >= 0 && index < chunkCount)
				.forEach((index) -> held.set(firstChunk + index));
			// A full map states the file's chunk count, 0 if the peer does not know the
			// file; an update lists the added chunks.
			boolean fileUnknown = map.getChunks() == 0 && held.isEmpty();
			notifyReceiver(fileUnknown ? new TransferEvent.PeerNotFetching(this.vm)
					: new TransferEvent.PeerHolds(this.vm, held));
		}

		// Ignores replies that match no pending request, such as duplicates.
		private void handleReply(ChunkReply reply) {
			if (reply.getStatus() == ChunkStatus.CHUNK_OK) {
				handlePart(reply);
				return;
			}
			PendingRequest request = this.pendingRequests.remove(reply.getId());
			if (request == null) {
				return;
			}
			boolean busy = reply.getStatus() == ChunkStatus.CHUNK_BUSY;
			notifyReceiver(new TransferEvent.Refused(request.chunk(), this.vm, busy));
		}

		// Checks only that the part fits into the chunk; the hash check comes later.
		private void handlePart(ChunkReply reply) {
			PendingRequest request = this.pendingRequests.get(reply.getId());
			if (request == null) {
				return;
			}
			int chunk = request.chunk();
			int chunkLength = request.chunkLength();
			int end = reply.getOffset() + reply.getData().size();
			if (reply.getLength() != chunkLength || reply.getOffset() < 0 || end > chunkLength) {
				this.pendingRequests.remove(reply.getId());
				PeerLinks.this.receiver.chunkReceived(chunk, this.vm, reply.getData().toByteArray());
				return;
			}
			if (reply.getOffset() < request.offset()) {
				this.ignoresParts = true;
				request = request.wholeChunk();
				this.pendingRequests.put(reply.getId(), request);
				this.partialChunks.remove(chunk);
			}
			PartialChunk partial = this.partialChunks.computeIfAbsent(chunk,
					(key) -> new PartialChunk(new byte[chunkLength]));
			if (reply.getOffset() > partial.receivedBytes) {
				// The parts before this one have been discarded meanwhile.
				this.pendingRequests.remove(reply.getId());
				notifyReceiver(new TransferEvent.Refused(chunk, this.vm, true));
				return;
			}
			reply.getData().copyTo(partial.bytes, reply.getOffset());
			partial.receivedBytes = Math.max(partial.receivedBytes, end);
			if (end < request.end()) {
				return;
			}
			this.pendingRequests.remove(reply.getId());
			if (request.end() < chunkLength) {
				notifyReceiver(new TransferEvent.PartReceived(chunk, this.vm, request.end()));
				return;
			}
			this.partialChunks.remove(chunk);
			PeerLinks.this.receiver.chunkReceived(chunk, this.vm, partial.bytes);
		}

		private void notifyReceiver(TransferEvent event) {
			PeerLinks.this.thread.execute(() -> {
				if (PeerLinks.this.links.get(this.vm) == this) {
					PeerLinks.this.receiver.event(event);
				}
			});
		}

		private void send(Frame frame) {
			Link to = this.link;
			if (to != null) {
				to.send(PeerLinks.this.metrics.countControl(frame));
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
