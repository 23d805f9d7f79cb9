/**
 * The adapters of the provider {@code http}, which call the external systems over plain
 * HTTP.
 */
package org.wisteriapost.protocol.outside.http;
