package org.wisteriapost.standin.soak;

import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;

import org.wisteriapost.kernel.EventLoop;
import org.wisteriapost.kernel.Invariants;

/**
 * Runs the production event loop in lockstep: each event is processed before the caller
 * continues, so that runs are deterministic.
 *
 * @param <E> the event type
 */
final class LockstepLoop<E> implements AutoCloseable {

	private static final int RING_SIZE = 16;

	private final EventLoop<PendingEvent<E>> loop;

	private LockstepLoop(EventLoop<PendingEvent<E>> loop) {
		this.loop = loop;
	}

	static <E> LockstepLoop<E> start(String name, Consumer<E> consumer, Invariants invariants) {
		return new LockstepLoop<>(EventLoop.start(name, RING_SIZE, (pending) -> {
			try {
				consumer.accept(pending.event);
			}
			catch (RuntimeException ex) {
				invariants.holds(false, "event-applied",
						name + " " + pending.event.getClass().getSimpleName() + " " + ex);
			}
			finally {
				pending.processed.countDown();
			}
		}));
	}

	void apply(E event) {
		PendingEvent<E> pending = new PendingEvent<>(event, new CountDownLatch(1));
		this.loop.put(pending);
		try {
			pending.processed.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException(ex);
		}
	}

	@Override
	public void close() {
		this.loop.close();
	}

	private record PendingEvent<E>(E event, CountDownLatch processed) {
	}

}
