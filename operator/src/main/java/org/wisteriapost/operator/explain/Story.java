package org.wisteriapost.operator.explain;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Finds the lines that tell what became of one attempt.
 *
 * These are its own lines, and around them what the same process learned of the runners
 * that had it and of the store: most failures are explained by what a process believed,
 * not by what it did.
 */
final class Story {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	// What was learned this long before the first own line is still part of the story.
	private static final long BEFORE_MILLIS = 5000;

	private static final Set<String> BELIEFS = Set.of("store", "table-in-force", "weights-named", "runners-read",
			"leaving", "started");

	private final List<Line> lines;

	private Story(List<Line> lines) {
		this.lines = lines;
	}

	/**
	 * Returns the story of an attempt, in the order of time.
	 */
	static Story of(String attempt, List<Path> files) throws IOException {
		List<Line> all = new ArrayList<>();
		for (Path file : files) {
			for (String text : Files.readAllLines(file)) {
				parse(text).ifPresent(all::add);
			}
		}
		all.sort(Comparator.comparing(Line::time));
		List<Line> own = all.stream().filter((line) -> line.field("attempt").equals(attempt)).toList();
		if (own.isEmpty()) {
			return new Story(List.of());
		}
		Set<String> processes = new HashSet<>();
		Set<String> runners = new HashSet<>();
		own.forEach((line) -> {
			processes.add(line.field("process"));
			runners.add(line.field("runner"));
			runners.add(line.field("address"));
		});
		runners.remove("");
		String from = java.time.Instant.parse(own.getFirst().time()).minusMillis(BEFORE_MILLIS).toString();
		String until = own.getLast().time();
		return new Story(all.stream()
			.filter((line) -> own.contains(line) || (line.time().compareTo(from) >= 0
					&& line.time().compareTo(until) <= 0 && processes.contains(line.field("process"))
					&& (BELIEFS.contains(line.field("event")) || runners.contains(line.field("runner"))
							|| runners.contains(line.field("address")))
					&& line.field("attempt").isEmpty()))
			.toList());
	}

	boolean isEmpty() {
		return this.lines.isEmpty();
	}

	/**
	 * Returns one text for each line.
	 */
	List<String> tell() {
		return this.lines.stream().map(Line::tell).toList();
	}

	// Logs hold lines of other programs too; what is no JSON object is passed over.
	private static Optional<Line> parse(String text) {
		int brace = text.indexOf('{');
		if (brace < 0) {
			return Optional.empty();
		}
		try {
			JsonNode node = MAPPER.readTree(text.substring(brace));
			return (node.path("time").isMissingNode() || node.path("event").isMissingNode()) ? Optional.empty()
					: Optional.of(new Line(node.path("time").asText(), node));
		}
		catch (JsonProcessingException ex) {
			return Optional.empty();
		}
	}

	private record Line(String time, JsonNode node) {

		private String field(String name) {
			return this.node.path(name).asText("");
		}

		private String tell() {
			StringBuilder text = new StringBuilder(this.time).append(' ')
				.append(field("process"))
				.append(' ')
				.append(field("event"));
			this.node.properties().forEach((entry) -> {
				if (!Set.of("time", "process", "event").contains(entry.getKey())) {
					text.append(' ').append(entry.getKey()).append('=').append(entry.getValue().asText());
				}
			});
			return text.toString();
		}

	}

}
