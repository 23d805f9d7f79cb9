package org.wisteriapost.protocol;

/**
 * Names of the HTTP headers between callers, wisteriapost and runners.
 */
public final class CallerHeaders {

	/** From callers: milliseconds until the caller's deadline. */
	public static final String DEADLINE = "Wisteriapost-Deadline-Ms";

	/** From callers: {@code urgent}, {@code normal} or {@code bulk}. */
	public static final String PRIORITY = "Wisteriapost-Priority";

	/** From callers: the idempotency key of a request that must not run twice. */
	public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

	/**
	 * From callers: when the idempotency key was created, in milliseconds since the
	 * epoch, unless the key contains its time.
	 */
	public static final String IDEMPOTENCY_KEY_TIME = "Idempotency-Key-Time";

	/** From callers of chat completions: the service, by default taken from the model. */
	public static final String SERVICE = "Wisteriapost-Service";

	/** To callers, on every response: {@code ran}, {@code not-run} or {@code unknown}. */
	public static final String OUTCOME = "Wisteriapost-Outcome";

	/** In both directions: the id of the request in logs. */
	public static final String REQUEST_ID = "Wisteriapost-Request-Id";

	/** To callers and from engines: digest of the weights that computed the response. */
	public static final String WEIGHTS = "Wisteriapost-Weights";

	/**
	 * To callers: milliseconds to wait before a retry, in addition to the standard
	 * Retry-After in seconds.
	 */
	public static final String RETRY_AFTER_MILLIS = "Wisteriapost-Retry-After-Ms";

	private CallerHeaders() {
	}

}
