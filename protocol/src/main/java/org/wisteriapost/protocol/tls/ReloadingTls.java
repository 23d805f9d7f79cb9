package org.wisteriapost.protocol.tls;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.Socket;
import java.security.GeneralSecurityException;
import java.security.Principal;
import java.security.PrivateKey;
import java.security.cert.CertificateException;
import java.security.cert.X509Certificate;
import java.util.concurrent.TimeUnit;

import javax.net.ssl.KeyManager;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLEngine;
import javax.net.ssl.TrustManager;
import javax.net.ssl.X509ExtendedKeyManager;
import javax.net.ssl.X509ExtendedTrustManager;

import org.wisteriapost.kernel.CodedException;

/**
 * An SSL context that reloads its keys when their files change. Handshakes use changed
 * files within a second; open connections are not affected. If a file cannot be read, the
 * error is logged and the previous keys stay in use, so that a partially written key does
 * not make handshakes fail.
 */
public final class ReloadingTls {

	private static final Logger LOG = System.getLogger(ReloadingTls.class.getName());

	private static final long CHECK_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

	private final PemFiles files;

	private final SSLContext context;

	private Managers managers;

	private long lastCheckNanos = System.nanoTime();

	private ReloadingTls(PemFiles files) throws GeneralSecurityException {
		this.files = files;
		this.managers = Managers.read(files);
		this.context = SSLContext.getInstance("TLSv1.3");
		this.context.init(new KeyManager[] { new ReloadingKeyManager() },
				new TrustManager[] { new ReloadingTrustManager() }, null);
	}

	/**
	 * Returns a context for the files, which must be readable.
	 */
	public static ReloadingTls of(PemFiles files) {
		try {
			return new ReloadingTls(files);
		}
		catch (GeneralSecurityException ex) {
			throw new IllegalStateException("TLS 1.3 is not available", ex);
		}
	}

	/**
	 * Returns the context, for servers and clients.
	 */
	public SSLContext context() {
		return this.context;
	}

	private synchronized Managers current() {
		long now = System.nanoTime();
		if (now - this.lastCheckNanos >= CHECK_INTERVAL_NANOS) {
			this.lastCheckNanos = now;
			reload();
		}
		return this.managers;
	}

	private void reload() {
		if (this.files.lastModifiedMillis() == this.managers.writtenMillis) {
			return;
		}
		try {
			this.managers = Managers.read(this.files);
			LOG.log(Level.INFO, "tls-reloaded: " + this.files.certificate());
		}
		catch (CodedException ex) {
			LOG.log(Level.ERROR, "tls-reload-failed: the previous keys stay in use: " + ex.getMessage());
		}
	}

	private record Managers(X509ExtendedKeyManager keys, X509ExtendedTrustManager trust, long writtenMillis) {

		private static Managers read(PemFiles files) {
			long written = files.lastModifiedMillis();
			return new Managers(files.keyManager(), files.trustManager(), written);
		}

	}

	/** Delegates to the current key manager. */
	private final class ReloadingKeyManager extends X509ExtendedKeyManager {

		@Override
		public String[] getClientAliases(String type, Principal[] issuers) {
			return current().keys.getClientAliases(type, issuers);
		}

		@Override
		public String chooseClientAlias(String[] types, Principal[] issuers, Socket socket) {
			return current().keys.chooseClientAlias(types, issuers, socket);
		}

		@Override
		public String chooseEngineClientAlias(String[] types, Principal[] issuers, SSLEngine engine) {
			return current().keys.chooseEngineClientAlias(types, issuers, engine);
		}

		@Override
		public String[] getServerAliases(String type, Principal[] issuers) {
			return current().keys.getServerAliases(type, issuers);
		}

		@Override
		public String chooseServerAlias(String type, Principal[] issuers, Socket socket) {
			return current().keys.chooseServerAlias(type, issuers, socket);
		}

		@Override
		public String chooseEngineServerAlias(String type, Principal[] issuers, SSLEngine engine) {
			return current().keys.chooseEngineServerAlias(type, issuers, engine);
		}

		@Override
		public X509Certificate[] getCertificateChain(String alias) {
			return current().keys.getCertificateChain(alias);
		}

		@Override
		public PrivateKey getPrivateKey(String alias) {
			return current().keys.getPrivateKey(alias);
		}

	}

	/** Delegates to the current trust manager. */
	private final class ReloadingTrustManager extends X509ExtendedTrustManager {

		@Override
		public void checkClientTrusted(X509Certificate[] chain, String type, Socket socket)
				throws CertificateException {
			current().trust.checkClientTrusted(chain, type, socket);
		}

		@Override
		public void checkServerTrusted(X509Certificate[] chain, String type, Socket socket)
				throws CertificateException {
			current().trust.checkServerTrusted(chain, type, socket);
		}

		@Override
		public void checkClientTrusted(X509Certificate[] chain, String type, SSLEngine engine)
				throws CertificateException {
			current().trust.checkClientTrusted(chain, type, engine);
		}

		@Override
		public void checkServerTrusted(X509Certificate[] chain, String type, SSLEngine engine)
				throws CertificateException {
			current().trust.checkServerTrusted(chain, type, engine);
		}

		@Override
		public void checkClientTrusted(X509Certificate[] chain, String type) throws CertificateException {
			current().trust.checkClientTrusted(chain, type);
		}

		@Override
		public void checkServerTrusted(X509Certificate[] chain, String type) throws CertificateException {
			current().trust.checkServerTrusted(chain, type);
		}

		@Override
		public X509Certificate[] getAcceptedIssuers() {
			return current().trust.getAcceptedIssuers();
		}

	}

}
