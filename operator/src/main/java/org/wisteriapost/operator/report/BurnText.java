package org.wisteriapost.operator.report;

import java.util.Arrays;
import java.util.Locale;
import java.util.stream.Collectors;

import org.wisteriapost.policy.burn.BurnReport;
import org.wisteriapost.policy.burn.RequestResult;
import org.wisteriapost.policy.burn.ResultCounts;

/**
 * Renders a burn report as plain text.
 */
final class BurnText {

	private static final int MAX_ORGANISATIONS = 3;

	private BurnText() {
	}

	static String of(BurnReport report) {
		StringBuilder text = new StringBuilder();
		text.append("figures of %d entries, the oldest %d s old%n".formatted(report.entries(),
				report.oldestMillis() / 1000));
		report.lines().forEach((line) -> append(line, text));
		return text.toString();
	}

	private static void append(BurnReport.ObjectiveBurn line, StringBuilder text) {
		text.append("%n%s: %s of %s, %s %% good within %d ms; %s %% of the 3 d budget spent%n".formatted(
				line.objective().name(), line.objective().service(), line.objective().organisation(),
				percent(line.objective().availability()), line.objective().latencyMillis(),
				percent(line.budgetSpent())));
		text.append("  window  requests     burn  spent on%n".formatted());
		for (BurnReport.WindowBurn span : line.spans()) {
			text.append(String.format(Locale.ROOT, "  %-6s %9d %8.2f  %s%n", span.window(), span.counts().total(),
					span.burn(), causes(span.counts())));
		}
		String spenders = topOrganisations(line.spans().getLast());
		if (!spenders.isEmpty()) {
			text.append("  by whom (3d): ").append(spenders).append(System.lineSeparator());
		}
	}

	static String causes(ResultCounts counts) {
		return Arrays.stream(RequestResult.values())
			.filter((result) -> result != RequestResult.GOOD && counts.of(result) > 0)
			.map((result) -> result.name().toLowerCase(Locale.ROOT) + " " + counts.of(result))
			.collect(Collectors.joining(", "));
	}

	private static String topOrganisations(BurnReport.WindowBurn span) {
		return span.spenders()
			.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().bad() > 0)
			.sorted((one, two) -> Long.compare(two.getValue().bad(), one.getValue().bad()))
			.limit(MAX_ORGANISATIONS)
			.map((entry) -> entry.getKey() + " (" + causes(entry.getValue()) + ")")
			.collect(Collectors.joining("; "));
	}

	static String percent(double share) {
		return String.format(Locale.ROOT, "%.4g", share * 100);
	}

}
