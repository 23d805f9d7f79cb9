package org.wisteriapost.standin;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.wisteriapost.protocol.outside.VmList;

/**
 * Starts stand-ins: {@code ROLE OPTIONS [+ ROLE OPTIONS ...]}. Each prints one line of
 * JSON with its port once it accepts connections. {@code traffic OPTIONS} runs a load
 * generator instead.
 */
public final class Standin {

	private static final Options OPTIONS = options();

	private Standin() {
	}

	/**
	 * Starts the stand-ins given by the arguments and runs until the process is stopped.
	 */
	public static void main(String[] args) throws InterruptedException {
		try {
			if (args.length > 0 && args[0].equals("traffic")) {
				Traffic.run(parse(args));
				return;
			}
			split(args).forEach(Standin::start);
		}
		catch (IllegalArgumentException ex) {
			System.err.println(ex.getMessage());
			System.exit(2);
		}
		new CountDownLatch(1).await();
	}

	private static List<String[]> split(String[] args) {
		List<String[]> all = new ArrayList<>();
		int from = 0;
		for (int i = 0; i <= args.length; i++) {
			if (i == args.length || args[i].equals("+")) {
				all.add(Arrays.copyOfRange(args, from, i));
				from = i + 1;
			}
		}
		return all;
	}

	private static void start(String[] args) {
		if (args.length == 0) {
			throw new IllegalArgumentException(
					"usage: platform, vm-list, origin, engine or plain, then --host IP --port N");
		}
		CommandLine line = parse(args);
		String host = line.getOptionValue("host", "127.0.0.1");
		int port = (int) number(line, "port", 0);
		int ready = switch (args[0]) {
			case "platform" -> PlatformServer
				.start(host, port, number(line, "reads-per-second", 0), number(line, "writes-per-second", 0))
				.port();
			case "vm-list" -> vmList(host, port, line).port();
			case "origin" -> origin(host, port, line).port();
			case "engine" -> engine(host, port, line).port();
			case "plain" -> PlainServer.start(host, port, Duration.ofMillis(number(line, "delay-ms", 2))).port();
			default -> throw new IllegalArgumentException("unknown stand-in: " + args[0]);
		};
		System.out.println("{\"ready\":\"" + args[0] + "\",\"host\":\"" + host + "\",\"port\":" + ready + "}");
	}

	private static VmListServer vmList(String host, int port, CommandLine line) {
		VmListServer server = VmListServer.start(host, port, number(line, "lag-ms", 0));
		if (line.hasOption("vms")) {
			VmList.Vm[] vms = Json.read(bytes(line.getOptionValue("vms")), VmList.Vm[].class);
			Arrays.stream(vms).forEach(server::put);
		}
		return server;
	}

	private static OriginServer origin(String host, int port, CommandLine line) {
		OriginServer server = OriginServer.start(host, port, number(line, "bytes-per-second", 0));
		for (String file : line.getOptionValue("publish", "").split(" ")) {
			String[] parts = file.split(",");
			if (parts.length == 4) {
				server.publish(parts[0], parts[1], Long.parseLong(parts[2]), Integer.parseInt(parts[3]));
			}
		}
		return server;
	}

	private static byte[] bytes(String file) {
		try {
			return Files.readAllBytes(Path.of(file));
		}
		catch (IOException ex) {
			throw new IllegalArgumentException("cannot read " + file, ex);
		}
	}

	private static EngineServer engine(String host, int port, CommandLine line) {
		if (line.hasOption("journal")) {
			return EngineServer.start(host, port, engine(line), Path.of(line.getOptionValue("journal")));
		}
		return EngineServer.start(host, port, engine(line));
	}

	private static EngineOptions engine(CommandLine line) {
		EngineOptions quick = EngineOptions.quick();
		return new EngineOptions(!line.getOptionValue("fencing", "on").equals("off"),
				Duration.ofMillis(number(line, "load-ms", quick.loadTime().toMillis())),
				Duration.ofMillis(number(line, "token-ms", quick.timePerToken().toMillis())),
				Duration.ofNanos(1000 * number(line, "prefill-us-per-char", 1)),
				(int) number(line, "slots", quick.slots()),
				Duration.ofMillis(number(line, "lag-ms", quick.maxStateAge().toMillis())), true);
	}

	private static CommandLine parse(String[] args) {
		try {
			return new DefaultParser().parse(OPTIONS, Arrays.copyOfRange(args, 1, args.length));
		}
		catch (ParseException ex) {
			throw new IllegalArgumentException(args[0] + ": " + ex.getMessage(), ex);
		}
	}

	private static long number(CommandLine line, String name, long fallback) {
		return Long.parseLong(line.getOptionValue(name, String.valueOf(fallback)));
	}

	private static Options options() {
		Options options = new Options();
		for (String name : List.of("host", "port", "lag-ms", "bytes-per-second", "reads-per-second",
				"writes-per-second", "fencing", "load-ms", "token-ms", "prefill-us-per-char", "slots", "delay-ms",
				"vms", "publish", "journal")) {
			options.addOption(null, name, true, "");
		}
		Traffic.OPTIONS.forEach((name) -> options.addOption(null, name, true, ""));
		return options;
	}

}
