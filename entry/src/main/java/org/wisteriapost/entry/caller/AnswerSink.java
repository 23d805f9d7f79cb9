package org.wisteriapost.entry.caller;

import java.util.List;
import java.util.Map;

/**
 * Where the answer to one caller goes: either one {@link Refusal}, one whole answer, or a
 * head, data and an end.
 */
public interface AnswerSink {

	/**
	 * Gives the caller its final answer without a run's content; after a head went out
	 * the answer is cut instead, since a caller would read an error as more of the
	 * answer.
	 */
	void refuse(Refusal refusal);

	/**
	 * Gives the caller a whole answer.
	 */
	void whole(int status, List<Map.Entry<String, String>> headers, String weights, byte[] body);

	/**
	 * Sends an answer's head; data follows. Its outcome header says that the run has
	 * started; only a whole end confirms it.
	 */
	void start(int status, List<Map.Entry<String, String>> headers, String weights);

	/**
	 * Sends a piece of the body; false when the caller is too slow and was cut.
	 */
	boolean data(byte[] data);

	/**
	 * Ends a streamed answer whole.
	 */
	void end();

}
