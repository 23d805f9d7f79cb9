package org.wisteriapost.kernel;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import com.lmax.disruptor.BlockingWaitStrategy;
import com.lmax.disruptor.ExceptionHandler;
import com.lmax.disruptor.RingBuffer;
import com.lmax.disruptor.TimeoutException;
import com.lmax.disruptor.dsl.Disruptor;
import com.lmax.disruptor.dsl.ProducerType;
import com.lmax.disruptor.util.DaemonThreadFactory;

/**
 * Single-consumer event loop over a bounded ring buffer, so that the state of a role
 * needs no locks.
 *
 * The buffer is bounded so that a burst of requests is rejected on arrival instead of
 * growing the heap until all requests time out. The consumer blocks while idle: busy
 * waiting alone would exceed the 1.5 % of a core that the control plane may use on a
 * node.
 *
 * @param <E> the event type
 */
public final class EventLoop<E> implements AutoCloseable {

	private static final Logger LOG = System.getLogger(EventLoop.class.getName());

	private static final long SHUTDOWN_SECONDS = 5;

	private final Disruptor<Slot<E>> disruptor;

	private final RingBuffer<Slot<E>> ring;

	private EventLoop(Disruptor<Slot<E>> disruptor) {
		this.disruptor = disruptor;
		this.ring = disruptor.getRingBuffer();
	}

	/**
	 * Starts the consumer thread and returns the loop.
	 * @param size the capacity in events, a power of two
	 */
	public static <E> EventLoop<E> start(String name, int size, Consumer<E> consumer) {
		Objects.requireNonNull(consumer, "consumer");
		Disruptor<Slot<E>> disruptor = new Disruptor<>(Slot::new, size, (task) -> {
			Thread thread = DaemonThreadFactory.INSTANCE.newThread(task);
			thread.setName(name);
			return thread;
		}, ProducerType.MULTI, new BlockingWaitStrategy());
		disruptor.setDefaultExceptionHandler(new LogAndContinue<>(name));
		disruptor.handleEventsWith((slot, sequence, endOfBatch) -> consumer.accept(slot.take()));
		disruptor.start();
		return new EventLoop<>(disruptor);
	}

	/**
	 * Publishes an event unless the buffer is full. On false the caller must reject the
	 * request as not executed.
	 */
	public boolean offer(E event) {
		return this.ring.tryPublishEvent((slot, sequence, value) -> slot.event = value, event);
	}

	/**
	 * Publishes an event, blocking while the buffer is full. Only for events that
	 * complete admitted work (end of a response, loss of a runner): dropping one would
	 * leak the admission slot.
	 */
	public void put(E event) {
		this.ring.publishEvent((slot, sequence, value) -> slot.event = value, event);
	}

	@Override
	public void close() {
		try {
			this.disruptor.shutdown(SHUTDOWN_SECONDS, TimeUnit.SECONDS);
		}
		catch (TimeoutException ex) {
			LOG.log(Level.WARNING, "event-loop-halted: pending events were discarded", ex);
			this.disruptor.halt();
		}
	}

	private static final class Slot<E> {

		private E event;

		private E take() {
			E taken = this.event;
			this.event = null;
			return taken;
		}

	}

	private record LogAndContinue<T>(String name) implements ExceptionHandler<T> {

		// A failing event must not stop the loop for all other requests.
		@Override
		public void handleEventException(Throwable ex, long sequence, T event) {
			LOG.log(Level.ERROR, "event-failed: loop " + this.name, ex);
		}

		@Override
		public void handleOnStartException(Throwable ex) {
			LOG.log(Level.ERROR, "event-loop-start-failed: loop " + this.name, ex);
		}

		@Override
		public void handleOnShutdownException(Throwable ex) {
			LOG.log(Level.ERROR, "event-loop-stop-failed: loop " + this.name, ex);
		}

	}

}
