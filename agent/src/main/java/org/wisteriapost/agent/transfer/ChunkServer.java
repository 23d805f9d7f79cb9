package org.wisteriapost.agent.transfer;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.BitSet;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import com.google.protobuf.ByteString;
import org.wisteriapost.kernel.Code;
import org.wisteriapost.policy.transfer.UploadQueue;
import org.wisteriapost.protocol.link.Link;
import org.wisteriapost.protocol.wire.ChunkMap;
import org.wisteriapost.protocol.wire.ChunkMapRequest;
import org.wisteriapost.protocol.wire.ChunkReply;
import org.wisteriapost.protocol.wire.ChunkRequest;
import org.wisteriapost.protocol.wire.ChunkStatus;
import org.wisteriapost.protocol.wire.Frame;

/**
 * Gives held chunks to peers and tells them of new ones. Used by the transfer's thread
 * alone.
 *
 * Every chunk is read back from the VM's store and hashed before it is sent, so that a
 * store that went bad does not spread; at most {@value #HELD} and, of those sent last,
 * {@value #KEPT_BYTES} bytes are in memory at once, whatever the size of the weights.
 */
final class ChunkServer {

	private static final Logger LOG = System.getLogger(ChunkServer.class.getName());

	private static final Code STORED_CORRUPT = Code.warning("stored-chunk-corrupt",
			"A chunk read back from the VM's weight store has a wrong hash; it is fetched again.");

	private static final int HELD = 4;

	private static final int KEPT_BYTES = 512 << 10;

	private static final int UPLOADS_PER_PEER = 2;

	// A peer that asked for more files than any bundle has would grow this map.
	private static final int MOST_FILES_PER_LINK = 256;

	private final TransferContext context;

	private final TransferThread thread;

	private final TransferMeters meters;

	private final ChunkShelf shelf;

	private final UploadQueue<Upload> uploads;

	private final PacedReplies replies;

	private final Map<Link, Map<String, Long>> watchers = new HashMap<>();

	// Chunks that were sent last, by their hashes.
	private final Map<String, byte[]> kept = new LinkedHashMap<>(16, 0.75F, true);

	private int held;

	ChunkServer(TransferContext context, TransferThread thread, TransferMeters meters, ChunkShelf shelf,
			int uploadsWaiting) {
		this.context = context;
		this.thread = thread;
		this.meters = meters;
		this.shelf = shelf;
		this.uploads = UploadQueue.create(uploadsWaiting, UPLOADS_PER_PEER);
		this.replies = new PacedReplies(context.frames(), context.timer(), thread::run,
				(sending) -> thread.run(this::released));
	}

	void rate(double bytesPerSecond) {
		this.replies.rate(bytesPerSecond);
	}

	/**
	 * Answers with all held chunks of a file and keeps telling of new ones, also when
	 * this VM has not heard of the file yet.
	 */
	void map(Link link, ChunkMapRequest request) {
		Map<String, Long> files = this.watchers.computeIfAbsent(link, (key) -> new HashMap<>());
		if (files.size() >= MOST_FILES_PER_LINK) {
			return;
		}
		files.put(request.getFile(), request.getId());
		send(link, whole(request.getId(), request.getFile()));
	}

	/**
	 * Tells who asked for a file before this VM knew it that it is fetched here now, so
	 * that nobody takes over what this VM is to read.
	 */
	void begun(String file) {
		this.watchers.forEach((link, files) -> {
			Long id = files.get(file);
			if (id != null) {
				send(link, whole(id, file));
			}
		});
	}

	/**
	 * Tells of chunks that were added to a file.
	 */
	void announce(String file, BitSet added) {
		this.watchers.forEach((link, files) -> {
			Long id = files.get(file);
			if (id != null) {
				ChunkMap.Builder change = ChunkMap.newBuilder().setId(id);
				added.stream().forEach(change::addAdded);
				send(link, this.context.frames().get().setChunkMap(change).build());
			}
		});
	}

	void request(Link link, ChunkRequest request) {
		if (!this.shelf.held(request.getFile()).get(request.getIndex()) || !within(request)) {
			refuse(link, request, ChunkStatus.CHUNK_MISSING);
			return;
		}
		// A peer that asks but does not read would fill the send buffer with chunks.
		if (!link.writable() || !this.uploads.offer(link, new Upload(link, request))) {
			refuse(link, request, ChunkStatus.CHUNK_BUSY);
			return;
		}
		pump();
	}

	private boolean within(ChunkRequest request) {
		int length = this.shelf.length(request.getFile(), request.getIndex());
		return request.getOffset() >= 0 && request.getLength() >= 0 && request.getOffset() < length
				&& request.getLength() <= length - request.getOffset();
	}

	void closed(Link link) {
		this.watchers.remove(link);
		this.uploads.removePeer(link);
		this.replies.drop(link);
	}

	private void pump() {
		while (this.held < HELD) {
			Optional<Upload> next = this.uploads.next();
			if (next.isEmpty()) {
				return;
			}
			upload(next.get());
		}
	}

	private void upload(Upload upload) {
		String file = upload.request.getFile();
		int index = upload.request.getIndex();
		if (!this.shelf.held(file).get(index)) {
			refuse(upload.link, upload.request, ChunkStatus.CHUNK_MISSING);
			return;
		}
		String hash = this.shelf.hash(file, index);
		this.held++;
		byte[] kept = this.kept.get(hash);
		if (kept != null) {
			finish(upload, Optional.of(kept), true);
			return;
		}
		this.context.store().get(file, index).whenComplete((found, failure) -> this.thread.compute(() -> {
			Optional<byte[]> bytes = (failure != null) ? Optional.empty() : found;
			boolean good = bytes.isPresent() && ChunkShelf.matches(bytes.get(), hash);
			this.thread.run(() -> finish(upload, good ? bytes : Optional.empty(), failure == null));
		}));
	}

	private void finish(Upload upload, Optional<byte[]> bytes, boolean answered) {
		if (bytes.isPresent()) {
			keep(upload, bytes.get());
			PacedReplies.Sending sending = new PacedReplies.Sending(upload.link, upload.request, bytes.get());
			this.meters.toPeers().increment(sending.length());
			this.replies.add(sending);
			return;
		}
		if (answered) {
			LOG.log(Level.WARNING,
					STORED_CORRUPT.name() + ": " + upload.request.getFile() + " chunk " + upload.request.getIndex());
			this.thread.lost(upload.request.getFile(), upload.request.getIndex());
		}
		refuse(upload.link, upload.request, ChunkStatus.CHUNK_MISSING);
		released();
	}

	// The parts of a chunk are asked for one by one, and each would cost a reading and a
	// hash.
	private void keep(Upload upload, byte[] bytes) {
		this.kept.put(this.shelf.hash(upload.request.getFile(), upload.request.getIndex()), bytes);
		Iterator<byte[]> oldest = this.kept.values().iterator();
		while (this.kept.size() > 1 && (long) this.kept.size() * bytes.length > KEPT_BYTES) {
			oldest.next();
			oldest.remove();
		}
	}

	private void released() {
		this.held--;
		pump();
	}

	private void refuse(Link link, ChunkRequest request, ChunkStatus status) {
		send(link, reply(request, status));
	}

	private Frame whole(long id, String file) {
		ChunkMap map = ChunkMap.newBuilder()
			.setId(id)
			.setFile(file)
			.setChunks(this.shelf.size(file))
			.setBits(ByteString.copyFrom(this.shelf.held(file).toByteArray()))
			.build();
		return this.context.frames().get().setChunkMap(map).build();
	}

	private Frame reply(ChunkRequest request, ChunkStatus status) {
		ChunkReply reply = ChunkReply.newBuilder()
			.setId(request.getId())
			.setIndex(request.getIndex())
			.setStatus(status)
			.build();
		return this.context.frames().get().setChunkReply(reply).build();
	}

	private void send(Link link, Frame frame) {
		link.send(this.meters.counted(frame));
	}

	private record Upload(Link link, ChunkRequest request) {
	}

}
