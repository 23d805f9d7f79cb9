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
 * The log lines that explain the outcome of one attempt.
 *
 * These are the lines of the attempt itself and, from the same processes and time, state
 * changes of the runners involved, of the store and of what is believed of the request.
 * Most failures are explained by the local state of a process rather than by its actions.
 */
final class AttemptTrace {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	// Includes state changes shortly before the first line of the attempt.
	private static final long LOOKBACK_MILLIS = 5000;

	private static final Set<String> STATE_EVENTS = Set.of("store", "table-in-force", "weights-named", "runners-read",
			"leaving", "started", "runner-limit", "runner-leaving", "runner-resting", "evacuation-in-force",
			"evacuation-over", "evacuation-unreadable", "runner-cold", "runner-warm", "contention");

	// Refusals that are explained by the registrations of runners that the request was
	// never sent to.
	private static final String REGION_UNAVAILABLE = "region-unavailable";

	private static final Set<String> REGISTRATION_EVENTS = Set.of("runner-removed", "runner-changed");

	private final List<Line> lines;

	private AttemptTrace(List<Line> lines) {
		this.lines = lines;
	}

	/**
	 * Returns the trace of an attempt in chronological order.
	 */
	static AttemptTrace of(String attempt, List<Path> files) throws IOException {
		List<Line> all = new ArrayList<>();
		for (Path file : files) {
			for (String text : Files.readAllLines(file)) {
				parse(text).ifPresent(all::add);
			}
		}
		all.sort(Comparator.comparing(Line::time));
		List<Line> own = all.stream().filter((line) -> line.field("attempt").equals(attempt)).toList();
		if (own.isEmpty()) {
			return new AttemptTrace(List.of());
		}
		Set<String> processes = new HashSet<>();
		Set<String> runners = new HashSet<>();
		Set<String> requests = new HashSet<>();
		own.forEach((line) -> {
			processes.add(line.field("process"));
			runners.add(line.field("runner"));
			runners.add(line.field("address"));
			requests.add(line.field("request"));
		});
		runners.remove("");
		requests.remove("");
		boolean registrations = own.stream().anyMatch((line) -> line.field("code").equals(REGION_UNAVAILABLE));
		String from = java.time.Instant.parse(own.getFirst().time()).minusMillis(LOOKBACK_MILLIS).toString();
		String until = own.getLast().time();
		return new AttemptTrace(all.stream()
			.filter((line) -> own.contains(line) || (line.time().compareTo(from) >= 0
					&& line.time().compareTo(until) <= 0 && processes.contains(line.field("process"))
					&& (STATE_EVENTS.contains(line.field("event"))
							|| (registrations && REGISTRATION_EVENTS.contains(line.field("event")))
							|| runners.contains(line.field("runner")) || runners.contains(line.field("address"))
							|| requests.contains(line.field("request")))
					&& line.field("attempt").isEmpty()))
			.toList());
	}

	boolean isEmpty() {
		return this.lines.isEmpty();
	}

	/**
	 * Returns the trace as text, one element per line.
	 */
	List<String> format() {
		return this.lines.stream().map(Line::format).toList();
	}

	// Skips lines of other programs, which are not JSON objects with a time and an
	// event.
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

		private String format() {
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
