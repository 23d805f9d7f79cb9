package org.wisteriapost.entry.direct;

import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.apache.commons.rng.simple.RandomSource;
import org.hamcrest.Matchers;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wisteriapost.policy.dispatch.DispatchLimits;
import org.wisteriapost.policy.dispatch.Dispatcher;
import org.wisteriapost.policy.fleet.EntryInfo;
import org.wisteriapost.policy.fleet.RunnerIncarnation;
import org.wisteriapost.policy.fleet.RunnerInfo;
import org.wisteriapost.policy.fleet.TargetWeights;
import org.wisteriapost.policy.routing.CallLimits;
import org.wisteriapost.policy.routing.EngineSpec;
import org.wisteriapost.policy.routing.RouteTable;
import org.wisteriapost.policy.routing.ServiceSpec;
import org.wisteriapost.protocol.site.SiteSettings;
import org.wisteriapost.protocol.wire.Frame;

import static org.hamcrest.MatcherAssert.assertThat;

/**
 * A frame that a full link drops must not count as sent: an engine would stay on
 * superseded weights, and callers would be directed to an entry that has left.
 */
class PeerNotifierTests {

	private static final long SECOND = Duration.ofSeconds(1).toNanos();

	private static final String AGENT = "10.0.0.9:80";

	private static final EntryInfo SELF = new EntryInfo("edge-1", 1, "10.0.0.1:80", "10.0.0.1:7700", "hall-a", "");

	private static final EntryInfo OTHER = new EntryInfo("edge-2", 1, "10.0.0.2:80", "10.0.0.2:7700", "hall-a", "");

	private final EntryRegistry registry = new EntryRegistry(SELF);

	private final Dispatcher dispatcher = Dispatcher.create(
			new DispatchLimits("hall-a", 0.2, 10, Duration.ofSeconds(10), Duration.ofSeconds(8)),
			RandomSource.XO_RO_SHI_RO_128_PP.create(1));

	private final PeerNotifier notifier = new PeerNotifier(settings(), SELF, this.registry, this.dispatcher);

	private final FullLinkTransport links = new FullLinkTransport();

	private final Optional<RouteTable> table = Optional.of(table());

	private static SiteSettings settings() {
		SiteSettings.Guarantees bounds = new SiteSettings.Guarantees(Duration.ofSeconds(8), Duration.ofSeconds(2),
				Duration.ofSeconds(8), 0.2, 10, Duration.ofSeconds(10), Duration.ofSeconds(5));
		return new SiteSettings("edge-1", "10.0.0.1", "hall-a", "", Optional.empty(), Optional.empty(),
				Optional.empty(), 7700, 7701, URI.create("http://10.0.0.8:1"), Optional.empty(), "", 1, bounds);
	}

	private static RouteTable table() {
		EngineSpec engine = new EngineSpec(16, 300_000, 5, 9.3, 0.02, 0.03, 20, 1.2, 2048, 1000, 90, "lm", 300);
		ServiceSpec lm = new ServiceSpec("lm", 16, Optional.of(engine), Optional.empty());
		ServiceSpec origin = new ServiceSpec("weights", 4, Optional.empty(),
				Optional.of(new ServiceSpec.OriginSpec("10.0.0.7:1", 1000)));
		return RouteTable.of(1, List.of(), List.of(lm, origin), Map.of(),
				new CallLimits(8192, 65_536, Duration.ofSeconds(3), Duration.ofSeconds(15)));
	}

	@BeforeEach
	void start() {
		this.notifier.setTransport(this.links);
		this.registry.put(OTHER, 1, 0);
		this.registry.linkChanged("edge-2", true, 0);
		this.dispatcher.updateRouteTable(this.table.get());
		this.dispatcher.updateRunner(new RunnerInfo("r1", "lm", AGENT, "hall-a", 16, false, 0, Map.of("lm", 1), 1,
				RunnerIncarnation.UNKNOWN), 0);
	}

	private List<Integer> versionsSent() {
		return this.links.sent.stream()
			.filter(Frame::hasWeightsNamed)
			.map((frame) -> frame.getWeightsNamed().getVersion())
			.toList();
	}

	// Target weights are published while the agent's link is full. Once the link
	// accepts frames, the agent is notified once, without another change.
	@Test
	void targetWeightsAreResentAfterFullLink() {
		this.notifier.notifyAgents(this.table);
		this.links.full.add(AGENT);
		this.notifier.updateTargetVersion(new TargetWeights("lm", 2));
		this.notifier.notifyAgents(this.table);
		this.notifier.tick(this.table, SECOND);
		assertThat(versionsSent(), Matchers.contains(1));
		this.links.full.clear();
		this.notifier.tick(this.table, 2 * SECOND);
		this.notifier.tick(this.table, 3 * SECOND);
		assertThat(versionsSent(), Matchers.contains(1, 2));
	}

	@Test
	void leavingNoticeIsResentAfterFullLink() {
		this.links.full.add("edge-2");
		this.notifier.announceLeaving();
		this.notifier.tick(this.table, SECOND);
		assertThat(this.links.sent.stream().filter(Frame::hasLeaving).count(), Matchers.equalTo(0L));
		this.links.full.clear();
		this.notifier.tick(this.table, 2 * SECOND);
		this.notifier.tick(this.table, 3 * SECOND);
		assertThat(this.links.sent.stream().filter(Frame::hasLeaving).count(), Matchers.equalTo(1L));
	}

	/** Links, some of which are full. */
	private static final class FullLinkTransport implements PeerTransport {

		private final Set<String> full = new HashSet<>();

		private final List<Frame> sent = new ArrayList<>();

		@Override
		public void setDesiredPeers(Map<String, InetSocketAddress> peers) {
			// All peers are linked already.
		}

		@Override
		public SendResult send(String name, Frame frame) {
			if (this.full.contains(name)) {
				return SendResult.LINK_FULL;
			}
			this.sent.add(frame);
			return SendResult.SENT;
		}

		@Override
		public Set<String> linkedEntries() {
			return Set.of("edge-2");
		}

	}

}
