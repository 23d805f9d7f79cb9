/**
 * Connections between wisteriapost's own processes: Netty with protobuf frames.
 */
package org.wisteriapost.protocol.link;
