package org.wisteriapost.agent;

import org.wisteriapost.kernel.CodedException;
import org.wisteriapost.policy.agent.AgentEffect;
import org.wisteriapost.policy.agent.AgentEvent;
import org.wisteriapost.policy.agent.StoredObject;
import org.wisteriapost.protocol.outside.Platform;
import org.wisteriapost.protocol.outside.Platform.Precondition;
import org.wisteriapost.protocol.outside.Platform.PutResult;

/**
 * Reads and writes objects in the platform, posting the results as events.
 */
final class PlatformClient {

	private final Platform platform;

	private final AgentLoop loop;

	PlatformClient(Platform platform, AgentLoop loop) {
		this.platform = platform;
		this.loop = loop;
	}

	void read(String key) {
		long requestedAtNanos = this.loop.nowNanos();
		this.platform.get(key).whenComplete((stored, failure) -> {
			if (failure != null) {
				this.loop.post(new AgentEvent.ObjectReadFailed(key));
				return;
			}
			this.loop.post(new AgentEvent.ObjectRead(key,
					stored.map((found) -> new StoredObject(found.value(), found.version())), requestedAtNanos));
		});
	}

	void write(AgentEffect.WriteObject write) {
		this.platform.put(write.key(), write.value(), expected(write.expectedVersion()))
			.whenComplete((result, failure) -> {
				if (failure != null) {
					this.loop.post(new AgentEvent.ObjectWriteUnconfirmed(write.key()));
					return;
				}
				this.loop.post(switch (result) {
					case PutResult.Written written -> new AgentEvent.ObjectWritten(write.key(), written.version());
					case PutResult.Conflict conflict -> new AgentEvent.ObjectWriteConflict(write.key());
				});
			});
	}

	private static Precondition expected(long version) {
		if (version == AgentEffect.WriteObject.ABSENT) {
			return new Precondition.Absent();
		}
		return (version == AgentEffect.WriteObject.ANY_VERSION) ? new Precondition.Anything()
				: new Precondition.Version(version);
	}

	static boolean hasCode(Throwable failure, org.wisteriapost.kernel.Code code) {
		Throwable cause = failure;
		while (cause != null) {
			if (cause instanceof CodedException coded && coded.code().equals(code)) {
				return true;
			}
			cause = cause.getCause();
		}
		return false;
	}

}
