package org.wisteriapost.entry.claim;

import java.util.Optional;
import java.util.function.Consumer;

import org.wisteriapost.kernel.CodedException;
import org.wisteriapost.policy.claim.ClaimEffect;
import org.wisteriapost.protocol.outside.Platform;

/**
 * Reads and writes claim objects in the platform and reports the results to a listener.
 */
public final class ClaimStore {

	private final Platform platform;

	private final Consumer<ClaimReply> listener;

	private ClaimStore(Platform platform, Consumer<ClaimReply> listener) {
		this.platform = platform;
		this.listener = listener;
	}

	/**
	 * Creates a store that calls the listener on an I/O thread.
	 */
	public static ClaimStore of(Platform platform, Consumer<ClaimReply> listener) {
		return new ClaimStore(platform, listener);
	}

	/**
	 * Starts reading an object.
	 */
	public void read(ClaimEffect.Read read) {
		this.platform.get(read.object()).whenComplete((stored, failure) -> {
			if (failure != null) {
				this.listener.accept(new ClaimReply.Failed(read.object(), false));
				return;
			}
			this.listener.accept(found(read.object(), stored, false));
		});
	}

	/**
	 * Starts a conditional write.
	 */
	public void write(ClaimEffect.Write write) {
		Platform.Precondition expected = (write.version() == 0) ? new Platform.Precondition.Absent()
				: new Platform.Precondition.Version(write.version());
		this.platform.put(write.object(), write.value(), expected)
			.whenComplete((result, failure) -> this.listener
				.accept((failure != null) ? new ClaimReply.Failed(write.object(), !definitelyNotApplied(failure))
						: reply(write.object(), result)));
	}

	private static ClaimReply reply(String object, Platform.PutResult result) {
		return switch (result) {
			case Platform.PutResult.Written(long version) -> new ClaimReply.Written(object, version);
			case Platform.PutResult.Conflict(Optional<Platform.Stored> current) -> found(object, current, true);
		};
	}

	private static ClaimReply found(String object, Optional<Platform.Stored> stored, boolean conflict) {
		return new ClaimReply.Found(object, stored.map(Platform.Stored::value),
				stored.map(Platform.Stored::version).orElse(0L), conflict);
	}

	// Only UNAVAILABLE guarantees that a write had no effect. After any other failure it
	// may have taken effect.
	private static boolean definitelyNotApplied(Throwable failure) {
		Throwable cause = (failure.getCause() != null && !(failure instanceof CodedException)) ? failure.getCause()
				: failure;
		return cause instanceof CodedException coded && coded.code().equals(Platform.UNAVAILABLE);
	}

}
