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
 * Measures an agent process at rest: run time and voluntary waits by thread, and calls
 * that read or write. Entries and peers are links of this process, the engine is
 * emulated.
 */
public final class RestingAgent {

	private static final long SETTLE_SECONDS = 8;

	private static final long APART_MILLIS = 37;

	private final Links peers = Links.plain(1);

	private final Set<Link> ofAgent = ConcurrentHashMap.newKeySet();

	private final Set<Link> toAgent = ConcurrentHashMap.newKeySet();

	private RestingAgent() {
	}

	/**
	 * Measures once and prints a line a thread.
	 * @param args seconds, entries, peers, and the agent's command without its role
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
		SiteSettings read = SiteProvider.load().settings(settings);
		Handler peer = new Handler(this.ofAgent, List.of());
		for (int i = 2; i < 2 + peers; i++) {
			this.peers.listen(new InetSocketAddress("127.7.2." + i, read.linkPort()), peer);
		}
		ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true)
			.redirectOutput(folder.resolve("agent.log").toFile());
		builder.environment().put(SiteProvider.load().settingsVariable(), settings.toString());
		long startNanos = System.nanoTime();
		Process agent = builder.start();
		try {
			InetSocketAddress at = new InetSocketAddress("127.7.2.1", read.linkPort());
			for (int i = 0; i < entries; i++) {
				connect(at, entry(site, peers));
				if (i == 0) {
					System.out.println("millis until the first link: "
							+ TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos));
				}
			}
			for (int i = 0; i < peers; i++) {
				connect(at, asking());
			}
			TimeUnit.SECONDS.sleep(SETTLE_SECONDS);
			System.out.println("processor time until then: " + agent.info().totalCpuDuration().orElseThrow());
			Map<String, Long> before = ProcessCounts.of(agent.pid());
			TimeUnit.SECONDS.sleep(seconds);
			ProcessCounts.print(before, ProcessCounts.of(agent.pid()), seconds);
			System.out.println("links that the agent made: " + this.ofAgent.size() + ", took: " + this.toAgent.size());
		}
		finally {
			agent.destroy();
			agent.waitFor();
		}
	}

	// The process takes a moment to start. Each other side has its own thread and time of
	// heartbeats, as processes have.
	private void connect(InetSocketAddress at, List<Frame> first) throws InterruptedException {
		Links links = Links.plain(1);
		long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(SETTLE_SECONDS);
		while (true) {
			try {
				links.connect(at, new Handler(this.toAgent, first)).join();
				TimeUnit.MILLISECONDS.sleep(APART_MILLIS);
				return;
			}
			catch (CompletionException ex) {
				if (System.nanoTime() > until) {
					throw ex;
				}
				TimeUnit.MILLISECONDS.sleep(5);
			}
		}
	}

	private static List<Frame> entry(EmulatedSite site, int peers) {
		Roster.Builder roster = Roster.newBuilder();
		for (int i = 1; i < 2 + peers; i++) {
			roster.addMembers(RosterMember.newBuilder().setVm("127.7.2." + i).setPlace("hall-a"));
		}
		WeightsNamed named = WeightsNamed.newBuilder()
			.setModel(EmulatedSite.MODEL)
			.setVersion(1)
			.setOrigin("127.7.0.2:" + site.port())
			.build();
		return List.of(Frame.newBuilder().setHello(Hello.newBuilder().setVm("entry").setRole(Role.ENTRY)).build(),
				Frame.newBuilder().setRoster(roster).build(), Frame.newBuilder().setWeightsNamed(named).build());
	}

	private static List<Frame> asking() {
		return List.of(Frame.newBuilder().setHello(Hello.newBuilder().setVm("peer").setRole(Role.AGENT)).build(),
				Frame.newBuilder().setChunkMapRequest(ChunkMapRequest.newBuilder().setFile("some")).build());
	}

	private record Handler(Set<Link> open, List<Frame> first) implements LinkHandler {

		@Override
		public void onOpen(Link link) {
			this.open.add(link);
			this.first.forEach(link::send);
		}

		@Override
		public void onFrame(Link link, Frame frame) {
			// What the agent says does not matter here.
		}

		@Override
		public void onClosed(Link link) {
			this.open.remove(link);
		}

	}

}
