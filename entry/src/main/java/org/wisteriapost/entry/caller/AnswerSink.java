package org.wisteriapost.entry.caller;

import java.util.List;
import java.util.Map;

/**
 * Receives the answer to one caller: either a {@link Refusal}, a complete answer, or a
 * stream of a head, data and an end.
 */
public interface AnswerSink {

	/**
	 * Sends a refusal as the final answer. If a head was already sent, the connection is
	 * reset instead, since a caller would read the error as part of the answer.
	 */
	void refuse(Refusal refusal);

	/**
	 * Sends a complete answer.
	 */
	void complete(int status, List<Map.Entry<String, String>> headers, String weights, byte[] body);

	/**
	 * Sends the head of a streamed answer. Its outcome header says "ran" although the run
	 * has only started; the caller may rely on it only after a regular end of the stream.
	 */
	void start(int status, List<Map.Entry<String, String>> headers, String weights);

	/**
	 * Sends a chunk of the body; returns false if the caller reads too slowly and its
	 * connection was reset.
	 */
	boolean write(byte[] data);

	/**
	 * Ends a streamed answer regularly.
	 */
	void end();

}
