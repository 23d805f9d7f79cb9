package org.wisteriapost.protocol.link;

import io.netty.handler.ssl.SslContext;

/**
 * Mutual TLS for links: both sides present a certificate of the configured authority.
 *
 * @param server the context for accepted links
 * @param client the context for outgoing links
 */
public record LinkTls(SslContext server, SslContext client) {
}
