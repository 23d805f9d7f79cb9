import java.io.IOException;
import java.io.InputStream;
import java.lang.foreign.Arena;
import java.lang.foreign.FunctionDescriptor;
import java.lang.foreign.Linker;
import java.lang.foreign.MemorySegment;
import java.lang.foreign.ValueLayout;
import java.lang.invoke.MethodHandle;
import java.net.InetSocketAddress;

/**
 * A caller's socket with segments of the size that is usual outside a machine, and with a
 * small window. On the loopback interface a sender otherwise holds megabytes for a receiver.
 */
final class PhoneSocket implements AutoCloseable {

	private static final int SEGMENT_BYTES = 1400;

	private static final int WINDOW_BYTES = 16 << 10;

	private static final int AF_INET = 2;

	private static final int SOCK_STREAM = 1;

	private static final int SOL_SOCKET = 1;

	private static final int SO_RCVBUF = 8;

	private static final int IPPROTO_TCP = 6;

	private static final int TCP_MAXSEG = 2;

	private static final Linker LINKER = Linker.nativeLinker();

	private static final MethodHandle SOCKET = handle("socket", ValueLayout.JAVA_INT, ValueLayout.JAVA_INT,
			ValueLayout.JAVA_INT);

	private static final MethodHandle SETSOCKOPT = handle("setsockopt", ValueLayout.JAVA_INT, ValueLayout.JAVA_INT,
			ValueLayout.JAVA_INT, ValueLayout.ADDRESS, ValueLayout.JAVA_INT);

	private static final MethodHandle CONNECT = handle("connect", ValueLayout.JAVA_INT, ValueLayout.ADDRESS,
			ValueLayout.JAVA_INT);

	private static final MethodHandle CLOSE = handle("close", ValueLayout.JAVA_INT);

	private static final MethodHandle READ = transfer("read");

	private static final MethodHandle WRITE = transfer("write");

	private final Arena arena = Arena.ofShared();

	private final MemorySegment buffer = this.arena.allocate(8192);

	private final int fd;

	private PhoneSocket(int fd) {
		this.fd = fd;
	}

	private static MethodHandle handle(String name, ValueLayout... arguments) {
		return LINKER.downcallHandle(LINKER.defaultLookup().find(name).orElseThrow(),
				FunctionDescriptor.of(ValueLayout.JAVA_INT, arguments));
	}

	private static MethodHandle transfer(String name) {
		return LINKER.downcallHandle(LINKER.defaultLookup().find(name).orElseThrow(), FunctionDescriptor
			.of(ValueLayout.JAVA_LONG, ValueLayout.JAVA_INT, ValueLayout.ADDRESS, ValueLayout.JAVA_LONG));
	}

	static PhoneSocket connect(InetSocketAddress to) throws IOException {
		try {
			int fd = (int) SOCKET.invokeExact(AF_INET, SOCK_STREAM, 0);
			PhoneSocket socket = new PhoneSocket(fd);
			socket.option(SOL_SOCKET, SO_RCVBUF, WINDOW_BYTES);
			socket.option(IPPROTO_TCP, TCP_MAXSEG, SEGMENT_BYTES);
			MemorySegment address = socket.arena.allocate(16, 8);
			address.set(ValueLayout.JAVA_SHORT, 0, (short) AF_INET);
			address.set(ValueLayout.JAVA_BYTE, 2, (byte) (to.getPort() >> 8));
			address.set(ValueLayout.JAVA_BYTE, 3, (byte) to.getPort());
			MemorySegment.copy(to.getAddress().getAddress(), 0, address, ValueLayout.JAVA_BYTE, 4, 4);
			check((int) CONNECT.invokeExact(fd, address, 16), "connect");
			return socket;
		}
		catch (IOException ex) {
			throw ex;
		}
		catch (Throwable ex) {
			throw new IOException(ex);
		}
	}

	private void option(int level, int name, int value) throws Throwable {
		MemorySegment memory = this.arena.allocate(ValueLayout.JAVA_INT, value);
		check((int) SETSOCKOPT.invokeExact(this.fd, level, name, memory, 4), "setsockopt");
	}

	private static void check(long result, String call) throws IOException {
		if (result < 0) {
			throw new IOException(call + " failed");
		}
	}

	void write(byte[] bytes) throws IOException {
		try {
			MemorySegment.copy(bytes, 0, this.buffer, ValueLayout.JAVA_BYTE, 0, bytes.length);
			check((long) WRITE.invokeExact(this.fd, this.buffer, (long) bytes.length), "write");
		}
		catch (IOException ex) {
			throw ex;
		}
		catch (Throwable ex) {
			throw new IOException(ex);
		}
	}

	InputStream input() {
		return new InputStream() {

			@Override
			public int read() throws IOException {
				byte[] one = new byte[1];
				return (read(one, 0, 1) < 0) ? -1 : one[0] & 0xff;
			}

			@Override
			public int read(byte[] to, int offset, int length) throws IOException {
				try {
					int wanted = (int) Math.min(length, PhoneSocket.this.buffer.byteSize());
					long count = (long) READ.invokeExact(PhoneSocket.this.fd, PhoneSocket.this.buffer, (long) wanted);
					check(count, "read");
					MemorySegment.copy(PhoneSocket.this.buffer, ValueLayout.JAVA_BYTE, 0, to, offset, (int) count);
					return (count == 0) ? -1 : (int) count;
				}
				catch (IOException ex) {
					throw ex;
				}
				catch (Throwable ex) {
					throw new IOException(ex);
				}
			}

		};
	}

	@Override
	public void close() {
		try {
			int ignored = (int) CLOSE.invokeExact(this.fd);
		}
		catch (Throwable ex) {
			throw new IllegalStateException(ex);
		}
		this.arena.close();
	}

}
