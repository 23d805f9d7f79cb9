package org.wisteriapost.protocol;

/**
 * HTTP headers between callers, this system and runners.
 */
public final class CallerHeaders {

	/** From callers: milliseconds they will wait. */
	public static final String DEADLINE = "Wisteriapost-Deadline-Ms";

	/** From callers: {@code urgent}, {@code normal} or {@code bulk}. */
	public static final String PRIORITY = "Wisteriapost-Priority";

	/** From callers of calls that may not run twice. */
	public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

	/**
	 * From callers: when the idempotency key was made, in milliseconds since 1970, unless
	 * the key itself says so.
	 */
	public static final String IDEMPOTENCY_KEY_TIME = "Idempotency-Key-Time";

	/** From callers of chat completions: the service; else the model names it. */
	public static final String SERVICE = "Wisteriapost-Service";

	/** To callers, on every answer: {@code ran}, {@code not-run} or {@code unknown}. */
	public static final String OUTCOME = "Wisteriapost-Outcome";

	/** Both ways: names one request in logs. */
	public static final String REQUEST_ID = "Wisteriapost-Request-Id";

	/** To callers and from engines: the weights digest an answer was computed with. */
	public static final String WEIGHTS = "Wisteriapost-Weights";

	/**
	 * To callers: milliseconds to come back after, next to the standard Retry-After in
	 * seconds.
	 */
	public static final String RETRY_AFTER_MILLIS = "Wisteriapost-Retry-After-Ms";

	private CallerHeaders() {
	}

}
