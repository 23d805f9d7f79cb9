package org.wisteriapost.protocol.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;

import org.xnio.ChannelListener;
import org.xnio.channels.StreamSinkChannel;

/**
 * The body of a request that is being sent. Confined to the connection's I/O thread.
 */
final class RequestBody {

	private final StreamSinkChannel channel;

	private final ByteBuffer unsent;

	private final Consumer<IOException> failed;

	RequestBody(StreamSinkChannel channel, byte[] body, Consumer<IOException> failed) {
		this.channel = channel;
		this.unsent = ByteBuffer.wrap(body);
		this.failed = failed;
	}

	/**
	 * Sends what the connection takes now, and the rest as it takes more.
	 */
	void write() {
		try {
			while (this.unsent.hasRemaining()) {
				if (this.channel.write(this.unsent) == 0) {
					this.channel.getWriteSetter().set((ChannelListener<StreamSinkChannel>) (same) -> write());
					this.channel.resumeWrites();
					return;
				}
			}
			this.channel.shutdownWrites();
			if (!this.channel.flush()) {
				this.channel.getWriteSetter().set((ChannelListener<StreamSinkChannel>) (same) -> flush());
				this.channel.resumeWrites();
			}
		}
		catch (IOException ex) {
			this.failed.accept(ex);
		}
	}

	private void flush() {
		try {
			if (this.channel.flush()) {
				this.channel.suspendWrites();
			}
		}
		catch (IOException ex) {
			this.failed.accept(ex);
		}
	}

}
