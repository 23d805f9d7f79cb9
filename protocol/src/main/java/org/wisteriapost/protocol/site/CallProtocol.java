package org.wisteriapost.protocol.site;

import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * The site-specific HTTP headers of callers' requests and runners' responses, and the
 * paths and encoding of the directory of entries.
 */
public interface CallProtocol {

	/**
	 * Parses the headers of a caller's request.
	 * @param header the first value of a header by name, or null
	 */
	CallerRequestFields parseRequest(Function<String, String> header);

	/**
	 * Returns whether only the system may set a header; one that a caller sent is
	 * dropped.
	 * @param name lower-case
	 */
	boolean isReservedHeader(String name);

	/**
	 * Returns the headers that the system adds to a request to a runner.
	 */
	List<Map.Entry<String, String>> runnerHeaders(RunnerRequestFields call);

	/**
	 * Parses the status and headers of a runner's response.
	 * @param headers by lower-case name
	 */
	RunnerResponseFields parseResponse(int status, Map<String, String> headers);

	/**
	 * Returns the name of the response header that carries the attempt id.
	 */
	String attemptHeader();

	/**
	 * Returns the path of the directory of entries.
	 */
	String directoryPath();

	/**
	 * Returns the query parameter that carries the caller's failure domain in a directory
	 * request.
	 */
	String failureDomainParameter();

	/**
	 * Returns the query parameter that carries the host of the caller's requests in a
	 * directory request.
	 */
	String hostParameter();

	/**
	 * Returns the query parameter that carries the caller's region in a directory
	 * request.
	 */
	String regionParameter();

	/**
	 * Returns the path of an entry's readiness check.
	 */
	String readinessPath();

	/**
	 * Returns the body of a directory response.
	 * @param addresses {@code IP:PORT}
	 * @param maxAgeSeconds how long callers may cache it
	 */
	byte[] encodeDirectory(List<String> addresses, int maxAgeSeconds);

}
