package org.wisteriapost.standin;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.ServiceLoader;
import java.util.function.UnaryOperator;

import org.wisteriapost.app.Main;
import org.wisteriapost.kernel.command.Command;
import org.wisteriapost.policy.bundle.Bundle;
import org.wisteriapost.policy.bundle.BundleCodec;
import org.wisteriapost.protocol.http.PooledHttpClient;
import org.wisteriapost.protocol.outside.VmList;
import org.wisteriapost.protocol.outside.http.HttpEngine;
import org.wisteriapost.protocol.outside.http.HttpPlatform;

/**
 * Two entries, two engines and one plain service with an agent each. Entries, agents and
 * engines run as separate processes; the platform, the VM list, the origin and the plain
 * service run in the test process, so that their state survives every fault.
 */
final class TestFleet implements AutoCloseable {

	static final String TOKEN = "fleet-token";

	private static final String HOST = "127.0.21.1";

	private static final String HTTP = "-http";

	private static final String FAILURE_DOMAIN = "oban-a";

	private static final long FILE_BYTES = 2 << 20;

	private static final int CHUNK_BYTES = 128 * 1024;

	final PlatformServer platform = PlatformServer.start(HOST, 0);

	final PlainServer plain = PlainServer.start(HOST, 0, Duration.ofMillis(20));

	final PooledHttpClient caller = PooledHttpClient.create(2);

	private final VmListServer vmList = VmListServer.start(HOST, 0, 200);

	private final OriginServer origin = OriginServer.start(HOST, 0);

	private final Map<String, TestProcess> processes = new LinkedHashMap<>();

	private final Map<String, TcpProxy> proxies = new HashMap<>();

	private final Path folder;

	private final StringBuilder operators = new StringBuilder();

	private TestFleet(Path folder) {
		this.folder = folder;
	}

	static TestFleet start(Path folder) throws Exception {
		TestFleet fleet = new TestFleet(folder);
		Files.createDirectories(folder);
		for (String operator : List.of("ana", "ben")) {
			Files.deleteIfExists(folder.resolve(operator + ".key"));
			fleet.operators.append(fleet.run("keys generate", "--name", operator, "--out", folder.toString()));
		}
		Files.writeString(folder.resolve("operator.ini"), fleet.common("operator"));
		fleet.engine("engine-1");
		fleet.engine("engine-2");
		fleet.agent("lm-1", "galley", "model", fleet.proxies.get("engine-1").port());
		fleet.agent("lm-2", "galley", "model", fleet.proxies.get("engine-2").port());
		fleet.proxy("plain-1").target(fleet.plain.port());
		fleet.agent("reg-1", "chartdesk", "plain", fleet.proxies.get("plain-1").port());
		fleet.entry("entry-1");
		fleet.entry("entry-2");
		List<Thread> starting = new ArrayList<>();
		List<Throwable> failures = new ArrayList<>();
		for (TestProcess process : fleet.processes.values()) {
			Thread thread = Thread.ofVirtual().uncaughtExceptionHandler((same, ex) -> failures.add(ex)).start(() -> {
				try {
					process.start();
				}
				catch (Exception ex) {
					throw new IllegalStateException(ex);
				}
			});
			starting.add(thread);
		}
		for (Thread thread : starting) {
			thread.join();
		}
		if (!failures.isEmpty()) {
			fleet.close();
			throw new IllegalStateException(failures.getFirst());
		}
		return fleet;
	}

	/**
	 * Closes all connections to a process.
	 */
	void cut(String name) {
		this.proxies.get(name).closeConnections();
		Optional.ofNullable(this.proxies.get(name + HTTP)).ifPresent(TcpProxy::closeConnections);
	}

	/**
	 * Changes what a process sends in response to calls.
	 */
	void changeReplies(String name, UnaryOperator<String> change) {
		this.proxies.get(name).changeReplies(change);
	}

	TestProcess process(String name) {
		return this.processes.get(name);
	}

	List<URI> entries() {
		return List.of(http("entry-1" + HTTP), http("entry-2" + HTTP));
	}

	/**
	 * Returns the weights that an engine reports, or an empty string if it does not
	 * respond.
	 */
	String serving(String engine) {
		try {
			return HttpEngine.at(this.caller, http(engine)).state().join().weightsDigest();
		}
		catch (RuntimeException ex) {
			return "";
		}
	}

	/**
	 * Returns how often calls of each request id were started on any runner.
	 */
	Map<String, Long> executed() throws Exception {
		Map<String, Long> executed = new HashMap<>(this.plain.executed());
		for (String engine : List.of("engine-1", "engine-2")) {
			Path journal = this.folder.resolve(engine + ".journal");
			if (Files.exists(journal)) {
				Files.readAllLines(journal).forEach((id) -> executed.merge(id, 1L, Long::sum));
			}
		}
		return executed;
	}

	/**
	 * Publishes weights, then proposes and approves a bundle with them.
	 * @return the digest of the bundle
	 */
	String accept(int version) throws Exception {
		this.origin.publish("galley/" + version, "" + version, FILE_BYTES, CHUNK_BYTES);
		Path file = this.folder.resolve("bundle-" + version + ".ini");
		Files.writeString(file, """
				[bundle]
				name = fleet
				version = %1$d
				[weight galley-7b]
				version = %1$d
				path = galley/%1$d
				[service galley]
				model = galley-7b
				places = %2$s
				[service chartdesk]
				kind = plain
				places = %2$s
				""".formatted(version, FAILURE_DOMAIN));
		String settings = this.folder.resolve("operator.ini").toString();
		String digest = run("bundle propose", "--settings", settings, file.toString()).trim();
		for (String operator : List.of("ana", "ben")) {
			run("bundle approve", "--settings", settings, "--as", operator, "--key",
					this.folder.resolve(operator + ".key").toString(), digest);
		}
		return digest;
	}

	void roll(String digest, int onto) {
		run("bundle roll", "--settings", this.folder.resolve("operator.ini").toString(), "--as", "ana", "--onto",
				"" + onto, digest);
	}

	/**
	 * Returns the weights label of responses under a bundle.
	 */
	String weights(String digest) {
		byte[] bytes = HttpPlatform.at(this.caller, URI.create("http://" + HOST + ":" + this.platform.port()))
			.get("bundles/" + digest)
			.join()
			.orElseThrow()
			.value();
		Bundle bundle = BundleCodec.bundle(bytes);
		return bundle.weightsDigest(bundle.service("galley").orElseThrow());
	}

	@Override
	public void close() throws Exception {
		for (TestProcess process : this.processes.values()) {
			process.close();
		}
		for (TcpProxy proxy : this.proxies.values()) {
			proxy.close();
		}
		this.caller.close();
		this.platform.close();
		this.plain.close();
		this.vmList.close();
		this.origin.close();
	}

	private void engine(String name) throws Exception {
		TcpProxy proxy = proxy(name);
		Path journal = this.folder.resolve(name + ".journal");
		Files.deleteIfExists(journal);
		this.processes.put(name,
				new TestProcess(name, this.folder,
						List.of(Standin.class.getName(), "engine", "--host", HOST, "--load-ms", "100", "--token-ms",
								"5", "--fencing", name.endsWith("1") ? "on" : "off", "--journal", journal.toString()),
						Map.of("port", proxy)));
	}

	private void agent(String name, String service, String kind, int runner) throws Exception {
		TcpProxy proxy = proxy(name);
		role("agent", name, """
				[agent]
				service = %s
				kind = %s
				link-host = %s
				runner = http://%s:%d
				""".formatted(service, kind, HOST, HOST, runner), Map.of("linkPort", proxy));
		register(name, "agent", service, proxy.port(), 0);
	}

	private void entry(String name) throws Exception {
		TcpProxy http = proxy(name + HTTP);
		TcpProxy link = proxy(name);
		role("entry", name, """
				[entry]
				http-host = %1$s
				link-host = %1$s
				[organisation clyde-charters]
				token = %2$s
				""".formatted(HOST, TOKEN), Map.of("httpPort", http, "linkPort", link));
		register(name, "entry", "", link.port(), http.port());
	}

	private void role(String role, String name, String own, Map<String, TcpProxy> ports) throws Exception {
		Path settings = this.folder.resolve(name + ".ini");
		Files.writeString(settings, common(name) + own);
		this.processes.put(name, new TestProcess(name, this.folder,
				List.of(Main.class.getName(), role, "--settings", settings.toString()), ports));
	}

	private void register(String name, String role, String service, int linkPort, int httpPort) {
		this.vmList.put(new VmList.Vm(name, FAILURE_DOMAIN, "isles", role, service, HOST, linkPort, httpPort, false));
	}

	private TcpProxy proxy(String name) throws Exception {
		TcpProxy proxy = TcpProxy.start(HOST);
		this.proxies.put(name, proxy);
		return proxy;
	}

	private String common(String name) {
		return """
				[process]
				vm = %s
				place = %s
				region = isles
				[outside]
				platform = http://%3$s:%4$d
				vm-list = http://%3$s:%5$d
				origin = http://%3$s:%6$d
				[operators]
				approvals = 2
				""".formatted(name, FAILURE_DOMAIN, HOST, this.platform.port(), this.vmList.port(), this.origin.port())
				+ this.operators;
	}

	private URI http(String proxy) {
		return URI.create("http://" + HOST + ":" + this.proxies.get(proxy).port());
	}

	private String run(String name, String... arguments) {
		Command command = ServiceLoader.load(Command.class)
			.stream()
			.map(ServiceLoader.Provider::get)
			.filter((one) -> one.name().equals(name))
			.findFirst()
			.orElseThrow();
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		int code = command.run(Arrays.asList(arguments), new PrintStream(out), System.err);
		if (code != 0) {
			throw new IllegalStateException(name + " exited with code " + code + ": " + out);
		}
		return out.toString();
	}

}
