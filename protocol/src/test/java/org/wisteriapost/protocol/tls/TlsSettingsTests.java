package org.wisteriapost.protocol.tls;

import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.FileTime;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.wisteriapost.kernel.settings.Settings;
import org.wisteriapost.protocol.link.Link;
import org.wisteriapost.protocol.link.LinkHandler;
import org.wisteriapost.protocol.link.LinkServer;
import org.wisteriapost.protocol.link.Links;
import org.wisteriapost.protocol.wire.CallCancel;
import org.wisteriapost.protocol.wire.Frame;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class TlsSettingsTests {

	private static final long WAIT_SECONDS = 20;

	private final TestAuthority ownAuthority = new TestAuthority("ours");

	private final TestAuthority otherAuthority = new TestAuthority("theirs");

	@TempDir
	private Path folder;

	@Test
	void peersOfSameAuthorityConnect() throws Exception {
		assertThat(exchangeFrame(this.ownAuthority.issue(this.folder, "server"),
				this.ownAuthority.issue(this.folder, "client")), is(true));
	}

	@Test
	void peerOfAnotherAuthorityIsRefused() throws Exception {
		assertThat(exchangeFrame(this.ownAuthority.issue(this.folder, "server"),
				this.otherAuthority.issue(this.folder, "client")), is(false));
	}

	@Test
	void peerWithoutTlsIsRefused() throws Exception {
		try (Links server = links(this.ownAuthority.issue(this.folder, "server")); Links client = Links.plain(1)) {
			assertThat(exchangeFrame(server, client), is(false));
		}
	}

	// The key files of a running server are replaced. A client that trusts only the new
	// authority can connect afterwards.
	@Test
	void replacedFilesAreUsedWithoutRestart() throws Exception {
		PemFiles files = this.ownAuthority.issue(this.folder, "server");
		PemFiles other = this.otherAuthority.issue(this.folder, "other");
		try (Links server = links(files); Links client = links(this.otherAuthority.issue(this.folder, "client"))) {
			assertThat(exchangeFrame(server, client), is(false));
			replace(other.certificate(), files.certificate());
			replace(other.key(), files.key());
			replace(other.authority(), files.authority());
			long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
			boolean connected = false;
			while (!connected && System.nanoTime() < end) {
				connected = exchangeFrame(server, client);
			}
			assertThat(connected, is(true));
		}
	}

	private boolean exchangeFrame(PemFiles server, PemFiles client) throws Exception {
		try (Links serverLinks = links(server); Links clientLinks = links(client)) {
			return exchangeFrame(serverLinks, clientLinks);
		}
	}

	private static boolean exchangeFrame(Links server, Links client) throws Exception {
		PingHandler serverHandler = new PingHandler(false);
		PingHandler clientHandler = new PingHandler(true);
		try (LinkServer at = server.listen(new InetSocketAddress("127.0.0.1", 0), serverHandler)) {
			client.connect(new InetSocketAddress("127.0.0.1", at.port()), clientHandler).exceptionally((failure) -> {
				clientHandler.results.add(false);
				return null;
			});
			return clientHandler.results.poll(WAIT_SECONDS, TimeUnit.SECONDS);
		}
	}

	private static Links links(PemFiles files) {
		return TlsSettings.links(Settings.parse("f", "[tls]\ncertificate = %s\nkey = %s\nauthority = %s\n"
			.formatted(files.certificate(), files.key(), files.authority())), 1);
	}

	private static void replace(Path from, Path to) throws Exception {
		Files.copy(from, to, StandardCopyOption.REPLACE_EXISTING);
		Files.setLastModifiedTime(to, FileTime.fromMillis(System.currentTimeMillis() + 5000));
	}

	/**
	 * The client sends a frame and the server echoes it. The result is true when the
	 * client has received the echo and false when the link closed before.
	 */
	private static final class PingHandler implements LinkHandler {

		private final BlockingQueue<Boolean> results = new LinkedBlockingQueue<>();

		private final boolean client;

		private PingHandler(boolean client) {
			this.client = client;
		}

		@Override
		public void onOpen(Link link) {
			if (this.client) {
				link.send(Frame.newBuilder().setCallCancel(CallCancel.newBuilder().setId(1)).build());
			}
		}

		@Override
		public void onFrame(Link link, Frame frame) {
			if (this.client) {
				this.results.add(true);
				link.close();
				return;
			}
			link.send(frame);
		}

		@Override
		public void onClosed(Link link) {
			this.results.add(false);
		}

	}

}
