package org.wisteriapost.entry.direct;

import java.io.IOException;
import java.io.InputStream;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Optional;
import java.util.zip.Deflater;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;

import com.google.protobuf.ByteString;
import org.wisteriapost.protocol.wire.News;
import org.wisteriapost.protocol.wire.StoreObject;

/**
 * Writes and reads the content of store objects in frames between entries.
 *
 * A route table has hundreds of kilobytes, and a leader sends it to each follower after
 * each change. Uncompressed, a few changes in a row fill the link to another region for
 * seconds: followers there take the leader for failed and learn of new target versions
 * too late.
 */
final class StoreObjectContent {

	// Smaller objects gain little, and are decoded at once when they change.
	private static final int MIN_COMPRESSED_BYTES = 2048;

	// Bounds the memory for a malformed frame; stores limit an object to some megabytes.
	private static final int MAX_BYTES = 64 << 20;

	private static final Logger LOG = System.getLogger(StoreObjectContent.class.getName());

	private StoreObjectContent() {
	}

	/**
	 * Sets the content of an object, compressed if it is large.
	 */
	static void write(StoreObject.Builder object, byte[] content) {
		if (content.length < MIN_COMPRESSED_BYTES) {
			object.setContent(ByteString.copyFrom(content));
			return;
		}
		object.setDeflated(deflate(content));
	}

	/**
	 * Returns the content of an object; empty if it is malformed.
	 */
	static Optional<byte[]> read(StoreObject object) {
		if (object.getDeflated().isEmpty()) {
			return Optional.of(object.getContent().toByteArray());
		}
		try {
			return Optional.of(inflate(object.getDeflated()));
		}
		catch (IOException ex) {
			LOG.log(Level.WARNING, "store-object-malformed: " + object.getName(), ex);
			return Optional.empty();
		}
	}

	/**
	 * Returns an update with uncompressed objects, for a peer that does not read
	 * compressed ones.
	 */
	static News inflated(News update) {
		if (update.getObjectsList().stream().allMatch((object) -> object.getDeflated().isEmpty())) {
			return update;
		}
		News.Builder readable = update.toBuilder().clearObjects();
		update.getObjectsList().forEach((object) -> readable.addObjects(inflated(object)));
		return readable.build();
	}

	private static StoreObject inflated(StoreObject object) {
		if (object.getDeflated().isEmpty()) {
			return object;
		}
		StoreObject.Builder readable = object.toBuilder().clearDeflated();
		read(object).ifPresent((content) -> readable.setContent(ByteString.copyFrom(content)));
		return readable.build();
	}

	private static ByteString deflate(byte[] content) {
		ByteString.Output compressed = ByteString.newOutput();
		Deflater deflater = new Deflater(Deflater.BEST_SPEED);
		try (DeflaterOutputStream out = new DeflaterOutputStream(compressed, deflater)) {
			out.write(content);
		}
		catch (IOException ex) {
			throw new IllegalStateException("writing to memory failed", ex);
		}
		finally {
			deflater.end();
		}
		return compressed.toByteString();
	}

	private static byte[] inflate(ByteString compressed) throws IOException {
		try (InputStream content = new InflaterInputStream(compressed.newInput())) {
			byte[] read = content.readNBytes(MAX_BYTES + 1);
			if (read.length > MAX_BYTES) {
				throw new IOException("more than " + MAX_BYTES + " bytes");
			}
			return read;
		}
	}

}
