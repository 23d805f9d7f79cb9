package org.wisteriapost.operator.report;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.VectorGraphicsEncoder.VectorGraphicsFormat;
import org.knowm.xchart.style.Styler;
import org.wisteriapost.policy.burn.BurnReport;
import org.wisteriapost.policy.burn.RequestResult;
import org.wisteriapost.policy.burn.ResultCounts;

/**
 * Renders a burn report as a self-contained HTML page.
 */
final class BurnPage {

	private static final int CHART_WIDTH = 460;

	private static final int CHART_HEIGHT = 260;

	private static final int MAX_ORGANISATIONS = 8;

	private static final String PAGE_HEAD = """
			<!doctype html>
			<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
			<style>
			body { font: 15px/1.45 sans-serif; margin: 2em auto; max-width: 62em; color: #222; }
			h2 { margin: 1.6em 0 .2em; } p { margin: .2em 0 .8em; }
			table { border-collapse: collapse; } td, th { padding: .2em .9em; text-align: right; border-bottom: 1px solid #ddd; }
			th:first-child, td:first-child { text-align: left; } .over { color: #b00020; font-weight: bold; }
			.charts { display: flex; flex-wrap: wrap; gap: 1em; margin: 1em 0; } svg { border: 1px solid #ddd; }
			</style></head><body>
			<h1>Service-level burn</h1>
			""";

	private BurnPage() {
	}

	static String of(BurnReport report) {
		System.setProperty("java.awt.headless", "true");
		StringBuilder page = new StringBuilder(PAGE_HEAD);
		page.append(
				"<p>Made %s from the figures of %d entries, the oldest %d s old. A burn of 1 spends exactly the budget.</p>\n"
					.formatted(Instant.ofEpochMilli(report.atMillis()), report.entries(),
							report.oldestMillis() / 1000));
		report.lines().forEach((line) -> section(line, page));
		return page.append("</body></html>\n").toString();
	}

	private static void section(BurnReport.ObjectiveBurn line, StringBuilder page) {
		page.append(
				"<h2>%s</h2>\n<p>%s of %s: %s %% good within %d ms. <span class=\"%s\">%s %% of the three-day budget is spent.</span></p>\n"
					.formatted(escape(line.objective().name()), escape(line.objective().service()),
							escape(line.objective().organisation()), BurnText.percent(line.objective().availability()),
							line.objective().latencyMillis(), (line.budgetSpent() > 1) ? "over" : "",
							BurnText.percent(line.budgetSpent())));
		table(line, page);
		if (line.spans().getLast().counts().bad() > 0) {
			page.append("<div class=\"charts\">").append(svg(burnChart(line))).append(svg(organisationChart(line)));
			page.append("</div>\n");
		}
	}

	private static void table(BurnReport.ObjectiveBurn line, StringBuilder page) {
		page.append("<table><tr><th>window</th><th>requests</th><th>burn</th>");
		badResults().forEach((result) -> page.append("<th>").append(label(result)).append("</th>"));
		page.append("</tr>\n");
		for (BurnReport.WindowBurn span : line.spans()) {
			page.append(
					"<tr><td>%s</td><td>%d</td><td class=\"%s\">%s</td>".formatted(span.window(), span.counts().total(),
							(span.burn() > 1) ? "over" : "", String.format(Locale.ROOT, "%.2f", span.burn())));
			badResults().forEach((result) -> page.append("<td>").append(span.counts().of(result)).append("</td>"));
			page.append("</tr>\n");
		}
		page.append("</table>\n");
	}

	private static CategoryChart burnChart(BurnReport.ObjectiveBurn line) {
		CategoryChart chart = chart("Burn by window", "window", "times the allowed rate");
		chart.getStyler().setLegendVisible(false);
		chart.addSeries("burn", line.spans().stream().map(BurnReport.WindowBurn::window).toList(),
				line.spans().stream().map(BurnReport.WindowBurn::burn).toList());
		return chart;
	}

	private static CategoryChart organisationChart(BurnReport.ObjectiveBurn line) {
		CategoryChart chart = chart("Who spends it, on what (3 d)", "organisation", "requests");
		chart.getStyler().setStacked(true);
		chart.getStyler().setLegendPosition(Styler.LegendPosition.InsideNE);
		List<String> names = new ArrayList<>();
		List<ResultCounts> counts = new ArrayList<>();
		line.spans()
			.getLast()
			.spenders()
			.entrySet()
			.stream()
			.sorted((one, two) -> Long.compare(two.getValue().bad(), one.getValue().bad()))
			.limit(MAX_ORGANISATIONS)
			.forEach((entry) -> {
				names.add(entry.getKey());
				counts.add(entry.getValue());
			});
		badResults().forEach((result) -> chart.addSeries(label(result), names,
				counts.stream().map((one) -> one.of(result)).toList()));
		return chart;
	}

	private static CategoryChart chart(String title, String x, String y) {
		CategoryChart chart = new CategoryChartBuilder().width(CHART_WIDTH)
			.height(CHART_HEIGHT)
			.title(title)
			.xAxisTitle(x)
			.yAxisTitle(y)
			.build();
		chart.getStyler().setChartBackgroundColor(java.awt.Color.WHITE);
		chart.getStyler().setAvailableSpaceFill(0.6);
		return chart;
	}

	// Drops the XML declaration, which a browser would show as text inside a page.
	private static String svg(CategoryChart chart) {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		try {
			VectorGraphicsEncoder.saveVectorGraphic(chart, bytes, VectorGraphicsFormat.SVG);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		String text = bytes.toString(StandardCharsets.UTF_8);
		return text.substring(text.indexOf("<svg"));
	}

	private static List<RequestResult> badResults() {
		return Arrays.stream(RequestResult.values()).filter((result) -> result != RequestResult.GOOD).toList();
	}

	private static String label(RequestResult result) {
		return result.name().toLowerCase(Locale.ROOT);
	}

	private static String escape(String text) {
		return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
	}

}
