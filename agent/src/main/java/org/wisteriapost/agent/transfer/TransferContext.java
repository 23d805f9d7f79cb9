package org.wisteriapost.agent.transfer;

import java.util.concurrent.ScheduledExecutorService;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

import io.micrometer.core.instrument.MeterRegistry;
import org.wisteriapost.kernel.settings.Settings;
import org.wisteriapost.protocol.link.Link;
import org.wisteriapost.protocol.link.Links;
import org.wisteriapost.protocol.outside.Origin;
import org.wisteriapost.protocol.outside.WeightStore;
import org.wisteriapost.protocol.wire.Frame;
import org.wisteriapost.protocol.wire.Hello;

/**
 * Dependencies that the agent provides to a transfer. The agent owns and closes them.
 *
 * @param settings validated settings of the process
 * @param vm this VM
 * @param failureDomain the failure domain of this VM
 * @param links opens links to peers
 * @param helloFactory creates the first message on each link that the transfer opens
 * @param frameFactory creates the frames that the transfer sends, with the highest head
 * generation that the agent has seen
 * @param otherFrameHandler receives frames other than chunk maps and chunk replies on
 * links that the transfer opened
 * @param origin the origin of weights
 * @param store the VM's weight store
 * @param timer the single timer thread of the process; tasks must not block
 * @param meterRegistry the metrics of the process
 */
public record TransferContext(Settings settings, String vm, String failureDomain, Links links,
		Supplier<Hello> helloFactory, Supplier<Frame.Builder> frameFactory, BiConsumer<Link, Frame> otherFrameHandler,
		Origin origin, WeightStore store, ScheduledExecutorService timer, MeterRegistry meterRegistry) {
}
