package org.wisteriapost.app;

import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import org.wisteriapost.platform.emulator.EmulatedSite;
import org.wisteriapost.protocol.link.Link;
import org.wisteriapost.protocol.link.LinkHandler;
import org.wisteriapost.protocol.link.Links;
import org.wisteriapost.protocol.site.SiteProvider;
import org.wisteriapost.protocol.site.SiteSettings;
import org.wisteriapost.protocol.wire.ChunkMapRequest;
import org.wisteriapost.protocol.wire.Frame;
import org.wisteriapost.protocol.wire.Hello;
import org.wisteriapost.protocol.wire.Role;
import org.wisteriapost.protocol.wire.Roster;
import org.wisteriapost.protocol.wire.RosterMember;
import org.wisteriapost.protocol.wire.WeightsNamed;

/**
 * Measures an idle agent process: CPU time and voluntary context switches by thread, and
 * read and write system calls. Entries and peers are simulated by links of this process;
 * the engine is emulated.
 */
public final class RestingAgent {

	private static final long SETTLE_SECONDS = 8;

	private static final long CONNECT_INTERVAL_MILLIS = 37;

	private final Links peers = Links.plain(1);

	private final Set<Link> openedByAgent = ConcurrentHashMap.newKeySet();

	private final Set<Link> acceptedByAgent = ConcurrentHashMap.newKeySet();

	private RestingAgent() {
	}

	/**
	 * Runs one measurement and prints one line per counter.
	 * @param args duration in seconds, entries, peers, and the agent's command line
	 * without its role
	 */
	public static void main(String[] args) throws Exception {
		long seconds = Long.parseLong(args[0]);
		List<String> command = new ArrayList<>(Arrays.asList(args).subList(3, args.length));
		command.addAll(List.of("site", "agent"));
		Path folder = Files.createTempDirectory("resting-agent");
		try (EmulatedSite site = EmulatedSite.start()) {
			new RestingAgent().measure(site, folder, command, seconds, Integer.parseInt(args[1]),
					Integer.parseInt(args[2]));
		}
		System.exit(0);
	}

	private void measure(EmulatedSite site, Path folder, List<String> command, long seconds, int entries, int peers)
			throws Exception {
		site.addEngine(1);
		Path settings = site.writeAgentSettings(folder, 1);
		SiteSettings agentSettings = SiteProvider.load().settings(settings);
		HandshakeHandler peer = new HandshakeHandler(this.openedByAgent, List.of());
		for (int i = 2; i < 2 + peers; i++) {
			this.peers.listen(new InetSocketAddress("127.7.2." + i, agentSettings.linkPort()), peer);
		}
		ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true)
			.redirectOutput(folder.resolve("agent.log").toFile());
		builder.environment().put(SiteProvider.load().settingsVariable(), settings.toString());
		long startNanos = System.nanoTime();
		Process agent = builder.start();
		try {
			InetSocketAddress agentAddress = new InetSocketAddress("127.7.2.1", agentSettings.linkPort());
			for (int i = 0; i < entries; i++) {
				connect(agentAddress, entryHandshake(site, peers));
				if (i == 0) {
					System.out.println("milliseconds until the first link: "
							+ TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos));
				}
			}
			for (int i = 0; i < peers; i++) {
				connect(agentAddress, peerHandshake());
			}
			TimeUnit.SECONDS.sleep(SETTLE_SECONDS);
			System.out.println("CPU time after startup: " + agent.info().totalCpuDuration().orElseThrow());
			Map<String, Long> before = ProcessCounters.read(agent.pid());
			TimeUnit.SECONDS.sleep(seconds);
			ProcessCounters.printRates(before, ProcessCounters.read(agent.pid()), seconds);
			System.out.println("links opened by the agent: " + this.openedByAgent.size() + ", accepted: "
					+ this.acceptedByAgent.size());
		}
		finally {
			agent.destroy();
			agent.waitFor();
		}
	}

	// Retries until the agent process listens. Each link has its own thread and its own
	// heartbeat phase, as links of separate processes have.
	private void connect(InetSocketAddress address, List<Frame> handshake) throws InterruptedException {
		Links links = Links.plain(1);
		long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(SETTLE_SECONDS);
		while (true) {
			try {
				links.connect(address, new HandshakeHandler(this.acceptedByAgent, handshake)).join();
				TimeUnit.MILLISECONDS.sleep(CONNECT_INTERVAL_MILLIS);
				return;
			}
			catch (CompletionException ex) {
				if (System.nanoTime() > deadlineNanos) {
					throw ex;
				}
				TimeUnit.MILLISECONDS.sleep(5);
			}
		}
	}

	private static List<Frame> entryHandshake(EmulatedSite site, int peers) {
		Roster.Builder roster = Roster.newBuilder();
		for (int i = 1; i < 2 + peers; i++) {
			roster.addMembers(RosterMember.newBuilder().setVm("127.7.2." + i).setPlace("hall-a"));
		}
		WeightsNamed target = WeightsNamed.newBuilder()
			.setModel(EmulatedSite.MODEL)
			.setVersion(1)
			.setOrigin("127.7.0.2:" + site.port())
			.build();
		return List.of(Frame.newBuilder().setHello(Hello.newBuilder().setVm("entry").setRole(Role.ENTRY)).build(),
				Frame.newBuilder().setRoster(roster).build(), Frame.newBuilder().setWeightsNamed(target).build());
	}

	private static List<Frame> peerHandshake() {
		return List.of(Frame.newBuilder().setHello(Hello.newBuilder().setVm("peer").setRole(Role.AGENT)).build(),
				Frame.newBuilder().setChunkMapRequest(ChunkMapRequest.newBuilder().setFile("some")).build());
	}

	private record HandshakeHandler(Set<Link> openLinks, List<Frame> handshake) implements LinkHandler {

		@Override
		public void onOpen(Link link) {
			this.openLinks.add(link);
			this.handshake.forEach(link::send);
		}

		@Override
		public void onFrame(Link link, Frame frame) {
			// Frames from the agent are not part of the measurement.
		}

		@Override
		public void onClosed(Link link) {
			this.openLinks.remove(link);
		}

	}

}
