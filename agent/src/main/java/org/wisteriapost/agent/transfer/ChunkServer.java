package org.wisteriapost.agent.transfer;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.BitSet;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import org.wisteriapost.kernel.Code;
import org.wisteriapost.policy.transfer.UploadQueue;
import org.wisteriapost.policy.transfer.UploadWindow;
import org.wisteriapost.protocol.link.Link;
import org.wisteriapost.protocol.wire.ChunkMap;
import org.wisteriapost.protocol.wire.ChunkMapRequest;
import org.wisteriapost.protocol.wire.ChunkReply;
import org.wisteriapost.protocol.wire.ChunkRequest;
import org.wisteriapost.protocol.wire.ChunkStatus;
import org.wisteriapost.protocol.wire.Frame;

/**
 * Serves verified chunks to peers and announces newly verified ones to them. Confined to
 * the transfer thread.
 *
 * Every chunk is read back from the VM's store and hashed before it is sent, so that
 * corruption in one store does not spread. At most {@value #MAX_ACTIVE_UPLOADS} chunks
 * being sent and {@value #MAX_CACHED_BYTES} bytes of recently sent ones are in memory at
 * once, whatever the size of the weights.
 */
final class ChunkServer {

	private static final Logger LOG = System.getLogger(ChunkServer.class.getName());

	private static final Code STORED_CORRUPT = Code.warning("stored-chunk-corrupt",
			"A chunk read back from the VM's weight store has a wrong hash; it is fetched again.");

	private static final int MAX_ACTIVE_UPLOADS = 4;

	private static final int MAX_CACHED_BYTES = 512 << 10;

	private static final int MAX_UPLOADS_PER_PEER = 2;

	// By then the peer has requested the part elsewhere, and sending it would occupy a
	// narrow link for nothing.
	private static final long MAX_QUEUED_NANOS = Duration.ofSeconds(1).toNanos();

	// Bounds the subscriptions of a peer that requests more files than any bundle has.
	private static final int MAX_FILES_PER_LINK = 256;

	private final TransferContext context;

	private final TransferThread thread;

	private final TransferMetrics metrics;

	private final VerifiedChunks verifiedChunks;

	private final UploadQueue<Upload> uploadQueue;

	private final UploadWindow window = UploadWindow.create();

	private final ReplyPacer replyPacer;

	private final Map<Link, Map<String, Long>> subscriptions = new HashMap<>();

	// Recently sent chunks by hash, in access order.
	private final Map<String, byte[]> chunkCache = new LinkedHashMap<>(16, 0.75F, true);

	private int activeUploads;

	private boolean retryScheduled;

	ChunkServer(TransferContext context, TransferThread thread, TransferMetrics metrics, VerifiedChunks verifiedChunks,
			int maxQueuedUploads) {
		this.context = context;
		this.thread = thread;
		this.metrics = metrics;
		this.verifiedChunks = verifiedChunks;
		this.uploadQueue = UploadQueue.create(maxQueuedUploads, MAX_UPLOADS_PER_PEER);
		this.replyPacer = new ReplyPacer(context.frameFactory(), context.timer(), thread::execute,
				(chunk) -> thread.execute(() -> uploadEnded(chunk)));
	}

	void setRate(double bytesPerSecond) {
		this.replyPacer.setRate(bytesPerSecond);
	}

	/**
	 * Sends the chunk map of a file and subscribes the peer to updates of it. A file that
	 * is not known on this VM yet has an empty map.
	 */
	void subscribe(Link link, ChunkMapRequest request) {
		Map<String, Long> files = this.subscriptions.computeIfAbsent(link, (key) -> new HashMap<>());
		if (files.size() >= MAX_FILES_PER_LINK) {
			return;
		}
		files.put(request.getFile(), request.getId());
		send(link, fullChunkMap(request.getId(), request.getFile()));
	}

	/**
	 * Tells peers that subscribed before this VM knew the file that it is being fetched
	 * here, so that no peer takes over the origin reads assigned to this VM.
	 */
	void fetchStarted(String file) {
		this.subscriptions.forEach((link, files) -> {
			Long id = files.get(file);
			if (id != null) {
				send(link, fullChunkMap(id, file));
			}
		});
	}

	/**
	 * Sends the newly verified chunks of a file to the peers that subscribed to it.
	 */
	void announce(String file, BitSet added) {
		this.subscriptions.forEach((link, files) -> {
			Long id = files.get(file);
			if (id != null) {
				ChunkMap.Builder update = ChunkMap.newBuilder().setId(id);
				added.stream().forEach(update::addAdded);
				send(link, this.context.frameFactory().get().setChunkMap(update).build());
			}
		});
	}

	void handleRequest(Link link, ChunkRequest request) {
		this.window.requested(link, request.getFile(), request.getIndex(), request.getOffset(), System.nanoTime());
		if (!this.verifiedChunks.chunks(request.getFile()).get(request.getIndex()) || !isWithinChunk(request)) {
			reject(link, request, ChunkStatus.CHUNK_MISSING);
			return;
		}
		// A peer that sends requests but does not read replies would fill the send
		// buffer.
		if (!link.writable() || !this.uploadQueue.offer(link, new Upload(link, request, System.nanoTime()))) {
			reject(link, request, ChunkStatus.CHUNK_BUSY);
		}
		// Also after a rejection: the request may have acknowledged a part.
		startUploads();
	}

	private boolean isWithinChunk(ChunkRequest request) {
		int length = this.verifiedChunks.chunkLength(request.getFile(), request.getIndex());
		return request.getOffset() >= 0 && request.getLength() >= 0 && request.getOffset() < length
				&& request.getLength() <= length - request.getOffset();
	}

	void linkClosed(Link link) {
		this.subscriptions.remove(link);
		this.uploadQueue.removePeer(link);
		this.replyPacer.removeLink(link);
		this.window.removePeer(link);
	}

	private void startUploads() {
		while (this.activeUploads < MAX_ACTIVE_UPLOADS && this.uploadQueue.size() > 0) {
			if (!this.window.isOpen(this.activeUploads, System.nanoTime())) {
				startUploadsLater();
				return;
			}
			this.uploadQueue.next().ifPresent(this::upload);
		}
	}

	private void startUploadsLater() {
		long now = System.nanoTime();
		OptionalLong opens = this.window.opensNanos(now);
		if (opens.isEmpty() || this.retryScheduled) {
			return;
		}
		this.retryScheduled = true;
		this.context.timer().schedule(() -> this.thread.execute(() -> {
			this.retryScheduled = false;
			startUploads();
		}), opens.getAsLong() - now, TimeUnit.NANOSECONDS);
	}

	private void upload(Upload upload) {
		if (System.nanoTime() - upload.queuedNanos > MAX_QUEUED_NANOS) {
			reject(upload.link, upload.request, ChunkStatus.CHUNK_BUSY);
			return;
		}
		String file = upload.request.getFile();
		int index = upload.request.getIndex();
		if (!this.verifiedChunks.chunks(file).get(index)) {
			reject(upload.link, upload.request, ChunkStatus.CHUNK_MISSING);
			return;
		}
		String hash = this.verifiedChunks.chunkHash(file, index);
		this.activeUploads++;
		byte[] cached = this.chunkCache.get(hash);
		if (cached != null) {
			chunkRead(upload, Optional.of(cached), true);
			return;
		}
		this.context.store().get(file, index).whenComplete((found, failure) -> this.thread.executeHashing(() -> {
			Optional<byte[]> bytes = (failure != null) ? Optional.empty() : found;
			boolean valid = bytes.isPresent() && VerifiedChunks.matches(bytes.get(), hash);
			this.thread.execute(() -> chunkRead(upload, valid ? bytes : Optional.empty(), failure == null));
		}));
	}

	private void chunkRead(Upload upload, Optional<byte[]> bytes, boolean readSucceeded) {
		if (bytes.isPresent()) {
			addToCache(upload, bytes.get());
			ReplyPacer.OutgoingChunk outgoing = new ReplyPacer.OutgoingChunk(upload.link, upload.request, bytes.get());
			this.metrics.bytesToPeers().increment(outgoing.remainingBytes());
			this.replyPacer.add(outgoing);
			return;
		}
		if (readSucceeded) {
			LOG.log(Level.WARNING,
					STORED_CORRUPT.name() + ": " + upload.request.getFile() + " chunk " + upload.request.getIndex());
			this.thread.onChunkLost(upload.request.getFile(), upload.request.getIndex());
		}
		reject(upload.link, upload.request, ChunkStatus.CHUNK_MISSING);
		uploadEnded();
	}

	// Peers request a chunk part by part; without the cache each part would cost a read
	// from the store and a hash.
	private void addToCache(Upload upload, byte[] bytes) {
		this.chunkCache.put(this.verifiedChunks.chunkHash(upload.request.getFile(), upload.request.getIndex()), bytes);
		Iterator<byte[]> oldest = this.chunkCache.values().iterator();
		while (this.chunkCache.size() > 1 && (long) this.chunkCache.size() * bytes.length > MAX_CACHED_BYTES) {
			oldest.next();
			oldest.remove();
		}
	}

	private void uploadEnded(ReplyPacer.OutgoingChunk chunk) {
		if (chunk.remainingBytes() == 0) {
			this.window.sent(chunk.part(), System.nanoTime());
		}
		uploadEnded();
	}

	private void uploadEnded() {
		this.activeUploads--;
		startUploads();
	}

	private void reject(Link link, ChunkRequest request, ChunkStatus status) {
		send(link, reply(request, status));
	}

	private Frame fullChunkMap(long id, String file) {
		ChunkMap map = ChunkMap.newBuilder()
			.setId(id)
			.setFile(file)
			.setChunks(this.verifiedChunks.chunkCount(file))
			.setBits(ByteString.copyFrom(this.verifiedChunks.chunks(file).toByteArray()))
			.build();
		return this.context.frameFactory().get().setChunkMap(map).build();
	}

	private Frame reply(ChunkRequest request, ChunkStatus status) {
		ChunkReply reply = ChunkReply.newBuilder()
			.setId(request.getId())
			.setIndex(request.getIndex())
			.setStatus(status)
			.build();
		return this.context.frameFactory().get().setChunkReply(reply).build();
	}

	private void send(Link link, Frame frame) {
		link.send(this.metrics.countControl(frame));
	}

	private record Upload(Link link, ChunkRequest request, long queuedNanos) {
	}

}
