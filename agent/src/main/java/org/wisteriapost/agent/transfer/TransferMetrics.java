package org.wisteriapost.agent.transfer;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import org.wisteriapost.protocol.wire.Frame;

/**
 * Counters of a transfer.
 *
 * @param bytesFromOrigin bytes of verified chunks read from the origin
 * @param bytesFromPeers bytes of verified chunks received from peers
 * @param bytesToPeers bytes of chunks sent to peers
 * @param controlBytes bytes of all other frames sent
 * @param notices faults found in chunks and links
 */
record TransferMetrics(Counter bytesFromOrigin, Counter bytesFromPeers, Counter bytesToPeers, Counter controlBytes,
		Counter notices) {

	static TransferMetrics create(MeterRegistry registry) {
		return new TransferMetrics(registry.counter("wisteriapost.transfer.bytes", "way", "from-origin"),
				registry.counter("wisteriapost.transfer.bytes", "way", "from-peers"),
				registry.counter("wisteriapost.transfer.bytes", "way", "to-peers"),
				registry.counter("wisteriapost.transfer.control.bytes"),
				registry.counter("wisteriapost.transfer.notices"));
	}

	Frame countControl(Frame frame) {
		this.controlBytes.increment(frame.getSerializedSize());
		return frame;
	}

}
