package org.wisteriapost.app;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * Cumulative counters of a running process from {@code /proc}: CPU time and voluntary
 * context switches by thread name, and read and write system calls.
 */
final class ProcessCounters {

	private ProcessCounters() {
	}

	static Map<String, Long> read(long pid) throws IOException {
		Map<String, Long> counts = new TreeMap<>();
		Path process = Path.of("/proc", Long.toString(pid));
		try (Stream<Path> tasks = Files.list(process.resolve("task"))) {
			for (Path task : tasks.toList()) {
				String name = Files.readString(task.resolve("comm")).strip();
				counts.merge("run-us " + name,
						Long.parseLong(Files.readString(task.resolve("schedstat")).split(" ")[0]) / 1000, Long::sum);
				counts.merge("waits " + name, field(task.resolve("status"), "voluntary_ctxt_switches:"), Long::sum);
			}
		}
		counts.put("reads", field(process.resolve("io"), "syscr:"));
		counts.put("writes", field(process.resolve("io"), "syscw:"));
		return counts;
	}

	private static long field(Path file, String name) throws IOException {
		return Files.readAllLines(file)
			.stream()
			.filter((line) -> line.startsWith(name))
			.mapToLong((line) -> Long.parseLong(line.substring(name.length()).strip()))
			.findFirst()
			.orElse(0);
	}

	static void printRates(Map<String, Long> before, Map<String, Long> after, long seconds) {
		Map<String, Long> sums = new TreeMap<>();
		after.forEach((name, count) -> {
			long change = count - before.getOrDefault(name, 0L);
			if (change > 0) {
				sums.merge("all " + name.split(" ")[0], change, Long::sum);
				System.out.printf("%10.1f a second  %s%n", (double) change / seconds, name);
			}
		});
		sums.forEach((name, sum) -> System.out.printf("%10.1f a second  %s%n", (double) sum / seconds, name));
	}

}
