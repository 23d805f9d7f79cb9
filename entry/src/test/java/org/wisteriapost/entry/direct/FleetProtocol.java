package org.wisteriapost.entry.direct;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.function.Function;

import org.wisteriapost.protocol.site.CallProtocol;
import org.wisteriapost.protocol.site.CallerRequestFields;
import org.wisteriapost.protocol.site.RunnerRequestFields;
import org.wisteriapost.protocol.site.RunnerResponseFields;

/**
 * The headers of responses of {@link FleetRunner}s: {@code attempt}, {@code limit},
 * {@code unreadable-limit}, {@code leaving}, and {@code rest} and {@code cold}, in
 * milliseconds. Requests carry {@code attempt} and {@code last-event-id}.
 */
final class FleetProtocol implements CallProtocol {

	static final String LAST_EVENT_HEADER = "last-event-id";

	private static final int REJECTED = 503;

	@Override
	public RunnerResponseFields parseResponse(int status, Map<String, String> headers) {
		return new RunnerResponseFields(Optional.ofNullable(headers.get("attempt")), status == REJECTED, false,
				headers.containsKey("leaving"),
				Optional.ofNullable(headers.get("rest")).map((millis) -> Duration.ofMillis(Long.parseLong(millis))),
				Optional.ofNullable(headers.get("cold")).map((millis) -> Duration.ofMillis(Long.parseLong(millis))),
				OptionalInt.empty(), headers.containsKey("limit")
						? OptionalDouble.of(Double.parseDouble(headers.get("limit"))) : OptionalDouble.empty(),
				headers.containsKey("unreadable-limit"));
	}

	@Override
	public CallerRequestFields parseRequest(Function<String, String> header) {
		return new CallerRequestFields(Optional.ofNullable(header.apply("attempt")), OptionalLong.empty(), 0, 0,
				OptionalInt.empty(), Optional.empty(), Optional.empty());
	}

	@Override
	public boolean isReservedHeader(String name) {
		return false;
	}

	@Override
	public List<Map.Entry<String, String>> runnerHeaders(RunnerRequestFields call) {
		return call.lastEventId().map((id) -> List.of(Map.entry(LAST_EVENT_HEADER, id))).orElse(List.of());
	}

	@Override
	public String attemptHeader() {
		return "attempt";
	}

	@Override
	public String directoryPath() {
		return "";
	}

	@Override
	public String failureDomainParameter() {
		return "";
	}

	@Override
	public String hostParameter() {
		return "";
	}

	@Override
	public String regionParameter() {
		return "";
	}

	@Override
	public String readinessPath() {
		return "";
	}

	@Override
	public byte[] encodeDirectory(List<String> addresses, int maxAgeSeconds) {
		return new byte[0];
	}

}
