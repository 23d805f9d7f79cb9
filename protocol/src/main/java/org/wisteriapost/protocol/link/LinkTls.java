package org.wisteriapost.protocol.link;

import io.netty.handler.ssl.SslContext;

/**
 * Mutual TLS for links: both sides show a certificate of the configured authority.
 *
 * @param server for links taken
 * @param client for links made
 */
public record LinkTls(SslContext server, SslContext client) {
}
