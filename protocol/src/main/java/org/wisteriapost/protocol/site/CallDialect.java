package org.wisteriapost.protocol.site;

import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * How a site writes callers' requests and runners' answers, and its directory of entries.
 */
public interface CallDialect {

	/**
	 * Returns what a caller's headers say.
	 * @param header the first value of a header by name, or null
	 */
	CallerFields read(Function<String, String> header);

	/**
	 * Returns whether a header is the system's own to set, so that a caller's is dropped.
	 * @param name lower-case
	 */
	boolean reserved(String name);

	/**
	 * Returns the headers that the system adds for a runner.
	 */
	List<Map.Entry<String, String>> outbound(OutboundCall call);

	/**
	 * Returns what the head of a runner's answer says.
	 * @param headers by lower-case name
	 */
	RunnerReply reply(int status, Map<String, String> headers);

	/**
	 * Returns the header that answers carry the attempt's name in.
	 */
	String attemptHeader();

	/**
	 * Returns the path of the directory of entries.
	 */
	String directoryPath();

	/**
	 * Returns the query parameter in which a caller tells the directory where it is.
	 */
	String placeParameter();

	/**
	 * Returns the path that says whether an entry is ready.
	 */
	String readinessPath();

	/**
	 * Returns the body of a directory answer.
	 * @param addresses {@code IP:PORT}
	 * @param keepSeconds how long it may be kept
	 */
	byte[] directory(List<String> addresses, int keepSeconds);

}
