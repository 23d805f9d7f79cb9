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
 * What the agent gives a transfer to work with. The agent closes all of it.
 *
 * @param settings checked whole
 * @param vm this VM
 * @param place its failure domain
 * @param links for connections to peers
 * @param hello the first frame to send on a link that the transfer makes
 * @param frames a frame with the highest head generation that the agent has seen; every
 * frame the transfer sends starts from one
 * @param rest hears frames other than Hello and chunk frames on links that the transfer
 * made
 * @param origin the origin of weights
 * @param store the VM's weight store
 * @param timer the process's one timer thread; tasks must not block
 * @param meters the process's metrics
 */
public record TransferContext(Settings settings, String vm, String place, Links links, Supplier<Hello> hello,
		Supplier<Frame.Builder> frames, BiConsumer<Link, Frame> rest, Origin origin, WeightStore store,
		ScheduledExecutorService timer, MeterRegistry meters) {
}
