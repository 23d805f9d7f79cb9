package org.wisteriapost.agent.transfer;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import org.wisteriapost.protocol.wire.Frame;

/**
 * What a transfer counts.
 *
 * @param fromOrigin bytes of chunks read from the origin
 * @param fromPeers bytes of chunks that peers sent
 * @param toPeers bytes of chunks sent to peers
 * @param control bytes of all other frames sent
 * @param notices chunks and links found faulty
 */
record TransferMeters(Counter fromOrigin, Counter fromPeers, Counter toPeers, Counter control, Counter notices) {

	static TransferMeters in(MeterRegistry registry) {
		return new TransferMeters(registry.counter("wisteriapost.transfer.bytes", "way", "from-origin"),
				registry.counter("wisteriapost.transfer.bytes", "way", "from-peers"),
				registry.counter("wisteriapost.transfer.bytes", "way", "to-peers"),
				registry.counter("wisteriapost.transfer.control.bytes"),
				registry.counter("wisteriapost.transfer.notices"));
	}

	Frame counted(Frame frame) {
		this.control.increment(frame.getSerializedSize());
		return frame;
	}

}
