package org.wisteriapost.protocol.http;

/**
 * The use of a connection by a call.
 *
 * @param connection the number of the connection, unique in the process
 * @param call the number of the call on this connection, starting at 1
 */
public record ConnectionUse(long connection, int call) {
}
