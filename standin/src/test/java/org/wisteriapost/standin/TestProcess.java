package org.wisteriapost.standin;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * One process of a test fleet that can be killed, suspended and restarted. Clients and
 * links reach it through proxies with stable ports.
 */
final class TestProcess implements AutoCloseable {

	private static final Duration LIMIT = Duration.ofSeconds(60);

	private final String name;

	private final Path folder;

	private final List<String> arguments;

	private final Map<String, TcpProxy> proxies;

	private Process process;

	private int startCount;

	/**
	 * @param proxies by the field of the ready line that holds the port
	 */
	TestProcess(String name, Path folder, List<String> arguments, Map<String, TcpProxy> proxies) {
		this.name = name;
		this.folder = folder;
		this.arguments = arguments;
		this.proxies = proxies;
	}

	void start() throws Exception {
		List<String> command = new ArrayList<>(List.of(Path.of(System.getProperty("java.home"), "bin/java").toString(),
				"-Xmx128m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-XX:-UsePerfData",
				"--sun-misc-unsafe-memory-access=allow", "-cp", System.getProperty("java.class.path")));
		command.addAll(this.arguments);
		Path out = this.folder.resolve(this.name + "-" + this.startCount++ + ".out");
		this.process = new ProcessBuilder(command).redirectOutput(out.toFile())
			.redirectError(this.folder.resolve(this.name + ".err").toFile())
			.start();
		await(this.name + " is ready", () -> ready(out) || !this.process.isAlive());
		JsonNode ready = Json.tree(Files.readString(out)
			.lines()
			.filter(TestProcess::isReady)
			.findFirst()
			.orElseThrow(() -> new IllegalStateException(this.name + " exited, see " + this.folder))
			.getBytes());
		this.proxies.forEach((member, proxy) -> proxy.target(ready.path(member).asInt()));
	}

	void kill() throws Exception {
		this.process.destroyForcibly().waitFor();
	}

	void signal(String signal) throws Exception {
		new ProcessBuilder("kill", "-" + signal, Long.toString(this.process.pid())).start().waitFor();
	}

	@Override
	public void close() throws Exception {
		if (this.process != null) {
			this.process.destroyForcibly().waitFor();
		}
	}

	static void await(String what, BooleanSupplier condition) throws InterruptedException {
		long limit = System.nanoTime() + LIMIT.toNanos();
		while (!condition.getAsBoolean()) {
			if (System.nanoTime() - limit >= 0) {
				throw new AssertionError("timed out after " + LIMIT + ": " + what);
			}
			Thread.sleep(20);
		}
	}

	private static boolean ready(Path out) {
		try {
			return Files.readString(out).lines().anyMatch(TestProcess::isReady);
		}
		catch (IOException ex) {
			return false;
		}
	}

	private static boolean isReady(String line) {
		return line.startsWith("{") && line.contains("\"ready\"") && line.endsWith("}");
	}

}
